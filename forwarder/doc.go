// Package forwarder sends one HTTP/1.1 request to one endpoint and returns the
// response with its exact body. No two requests share a connection at a time.
// It never retries: an error tells whether any byte of the request may have
// reached the endpoint. net/http's transport is not used, because it retries
// some requests by itself and accepts the first response on a connection even
// if that belongs to an earlier request.
package forwarder
