// Package router is the request path of one instance: it admits a request,
// plans a chain of versions, chooses endpoints, streams the answer, retries
// where that is safe, and bills the request.
package router
