// Package decoder decodes YAML documents strictly: unknown fields, duplicate keys
// and further documents are errors. Each error is one line that names the file,
// the line and, where it is known, the field.
package decoder
