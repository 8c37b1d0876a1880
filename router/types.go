package router

import (
	"rosemaryarch.example/rosemaryarch/clock"
)

// Request is one request for a model's answer.
type Request struct {
	ID        string // unique in the workspace
	Workspace string
	Service   string
	Model     string // "" for any model, or a model name, or model@version
	Session   string // session ID, "" for a request without a session
	Token     string // session token returned with an earlier answer, or ""
	Prompt    string
	Partial   string       // answer text already received over a stream that broke
	MaxTokens int          // longest answer in tokens
	Arrived   clock.Millis // instant of arrival
	Deadline  clock.Millis // instant by which the answer must be complete
}

// AnswerHead holds the properties of an answer that are known when its first piece
// is delivered.
type AnswerHead struct {
	Version string // key of the version that generates the answer
	Token   string // session token, "" without a session
}

// Answer is a complete answer.
type Answer struct {
	AnswerHead
	Text      string
	Finish    string // finish reason reported by the engine
	TokensIn  int    // prompt tokens
	TokensOut int    // answer tokens
}

// Call is one call of a plain service.
type Call struct {
	Workspace      string
	Service        string
	Method         string
	Path           string // relative to the root of the service; starts with "/"
	Query          string
	ContentType    string
	IdempotencyKey string
	Body           []byte
	Arrived        clock.Millis
	Deadline       clock.Millis
}

// Reply is the answer of a plain service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	Repeated    bool // stored reply of an earlier call with the same idempotency key
}
