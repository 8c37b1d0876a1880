package router

import (
	"rosemaryarch.example/rosemaryarch/clock"
)

// Request is one model request of a caller.
type Request struct {
	ID        string // unique in the workspace
	Workspace string
	Service   string
	Model     string // "" for any, a model, or model@version
	Session   string // "" for none
	Token     string // session token of an earlier answer, may be ""
	Prompt    string
	Partial   string // answer text that the caller has from a broken stream
	MaxTokens int
	Arrived   clock.Millis
	Deadline  clock.Millis // instant after which the answer is of no use
}

// Head is known when the first piece of an answer is delivered.
type Head struct {
	Version string // version key that answers
	Token   string // session token, "" without a session
}

// Answer describes a whole answer.
type Answer struct {
	Head
	Text      string
	Finish    string
	TokensIn  int
	TokensOut int
}

// Call is one call of a plain service.
type Call struct {
	Workspace      string
	Service        string
	Method         string
	Path           string // below the service's root, starts with "/"
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
	Repeated    bool // the kept answer of an earlier call with the same key
}
