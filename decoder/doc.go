// Package decoder decodes YAML documents strictly: unknown fields, duplicate keys
// and further documents are errors. Size, depth and the expansion of aliases are
// limited, so that a hostile document ends in an error with bounded work. Each error
// is one line that names the file, the line and, where it is known, the field.
package decoder
