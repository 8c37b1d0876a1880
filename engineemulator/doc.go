// Package engineemulator is a small stand-in of a model engine. It serves HTTP
// with JSON bodies, computes deterministic answers and injects faults.
//
//	POST /v1/generate      streamer.Request; answers framer.Piece events, one per
//	                       token, then one with "end" and the number of tokens
//	POST /v1/resume        {request_id, attempt_id, from_index}; the rest of the attempt
//	POST /v1/cancel        {request_id, attempt_id}
//	GET  /v1/load          engineclient.Load, as it was Options.LoadLag ago
//	GET  /v1/cache_events  ?from=N; engineclient.CacheEvent list after sequence N
//	POST /v1/commands      {fencing_number, action, version}; X-Command-Key
//	GET  /v1/cache/{key}   opaque state of a cached prefix; PUT adds it
//
// A refusal is {"reason", "run"} with an error status; run is "no" if the
// engine did no work. Indexes count from 0 within an attempt. An attempt with
// prior_text continues it exactly as the same version would have on any
// endpoint. Faults cut a stream by closing the connection.
package engineemulator
