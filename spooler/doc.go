// Package spooler bounds the memory that a process holds for callers that read slowly,
// summed over all of them: bytes that have arrived from an endpoint and are not yet
// written to the caller.
//
// The load addressed: callers that read more slowly than endpoints send, while an endpoint
// cuts off a response that stays unread for some seconds.
package spooler
