// Package platformemulator is a small stand-in of the outside systems beside
// the object API and the engines: rating service, weight store, instance list
// and a plain service. It serves HTTP with JSON bodies and injects faults.
//
//	POST /v1/rate              ratingclient.Answer; answers {score}
//	POST /v1/weights/{version} weightclient.Weights, or 429 with Retry-After
//	GET  /v1/members           listclient.Member list, as it was Options.ListLag ago
//	POST /{name}               a non-idempotent call with Idempotency-Key, such as
//	                           /bookings; answers {id, key, call}
//	GET  /{name}/{key}         its look-up: 200 done, 202 running, 404 unknown,
//	                           501 if Options.NoLookUp
//
// Endpoints of the plain service share one ledger; Service returns the handler
// of one endpoint. A call with Idempotency-Key runs on each delivery unless
// Options.Dedupe is set, so that a test counts true runs.
package platformemulator
