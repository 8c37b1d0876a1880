// Package forwarder sends one request to one endpoint over a connection of its
// own and returns the endpoint's answer with its exact body. It repeats
// nothing: an error tells whether any byte of the request may have reached the
// endpoint. net/http's transport is not used, since it repeats some requests
// by itself and hands out the first answer on a connection even if it belongs
// to an earlier request.
package forwarder
