// Package administrator defines the operators' API over HTTP: it applies
// configuration texts, takes data centres and endpoints out of service and back
// in, rotates the session key and returns the status. An instance serves an
// Administrator with Handler; the command line calls it through NewHTTP.
package administrator
