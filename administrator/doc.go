// Package administrator is the operators' interface: it applies configuration
// texts, takes data centres and endpoints out and in, and shows the status. The
// same type is served over HTTP by an instance and used as a client by the
// command line.
package administrator
