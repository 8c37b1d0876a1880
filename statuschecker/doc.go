// Package statuschecker tells what a status code makes of an HTTP response (RFC 9110,
// section 15).
package statuschecker
