// Package serviceclient is the client of a plain service, whose calls may be
// non-idempotent: it never sends a call twice, and tells apart a call that did
// not run, one that ran and one whose outcome is unknown.
package serviceclient
