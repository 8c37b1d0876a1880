// Package dispatcher serves client requests. For each request it finds the route
// and the workspace in the current configuration, chooses the endpoint, the
// version and the model, sends the request there, retries where the route allows
// it, and forwards the response.
//
// It guarantees that a request is sent only while the configuration that permits
// it has been confirmed recently, and that a status meaning "not executed" is
// returned only if no endpoint can have executed the request.
//
// While the endpoints of a service have more work than they can do in time, it refuses
// some of the requests before their first send, as package shedder decides.
package dispatcher
