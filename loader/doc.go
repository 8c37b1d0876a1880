// Package loader reads the settings of one instance and its key files, and
// checks them before the instance starts.
package loader
