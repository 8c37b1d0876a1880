// Package decoder reads YAML documents strictly and names file, line and field
// in each error.
package decoder
