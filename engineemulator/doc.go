// Package engineemulator emulates a model engine for tests and demonstrations.
// It serves the engine API over HTTP with JSON bodies, computes answers that
// depend only on the version and the prompt, and injects faults on request.
//
//	POST /v1/generate      streamer.Request; streams one event of package framer per
//	                       token, then one with "end" and the number of tokens
//	POST /v1/resume        {request_id, attempt_id, from_index}; the rest of the attempt
//	POST /v1/cancel        {request_id, attempt_id}
//	GET  /v1/load          engineclient.Load as of Options.LoadDelay ago
//	GET  /v1/cache_events  ?from=N; engineclient.CacheEvent list after sequence N
//	POST /v1/commands      {fencing_number, action, version}; X-Command-Key
//	GET  /v1/cache/{key}   exports the opaque state of a cached prefix; PUT imports it
//
// A refusal is {"reason", "run"} with an error status; run is "no" if the engine
// has not started the request. Token indexes count from 0 within an attempt. An
// attempt with prior_text continues that text exactly as the same version does
// at any other endpoint. Faults that cut a stream close its connection. All
// durations are in milliseconds.
package engineemulator
