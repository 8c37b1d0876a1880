// Package serviceclient is an HTTP client of a plain service, whose calls may be
// non-idempotent. It never sends a call twice, and distinguishes a call that was
// not executed, one that was, and one whose outcome is unknown.
package serviceclient
