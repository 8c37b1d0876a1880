// Package loader reads and validates the settings file and the keys file of one
// instance. Both are YAML documents; errors name the file, line and field.
package loader
