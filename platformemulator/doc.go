// Package platformemulator emulates the external systems other than the object
// API and the engines: the rating service, the weight store, the instance list
// and a plain service. It serves HTTP with JSON bodies and injects faults on
// request. All durations are in milliseconds.
//
//	POST /v1/rate              ratingclient.Answer; returns {score}
//	POST /v1/weights/{version} weightclient.Weights, or 429 with Retry-After
//	GET  /v1/members           listclient.Member list as of Options.ListDelay ago
//	POST /{name}               non-idempotent call with Idempotency-Key to the
//	                           service name, such as /bookings; returns {id, key, call}
//	GET  /{name}/{key}         look-up of that call: 200 done, 202 running, 404
//	                           unknown, 501 if Options.NoLookUp
//
// The endpoints of the plain service share the records of calls; Service returns
// the handler of one endpoint. A call with Idempotency-Key runs on each delivery
// unless Options.Deduplicate is set, so that a test can count the actual runs.
package platformemulator
