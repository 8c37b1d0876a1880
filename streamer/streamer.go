package streamer

import (
	"strings"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/framer"
)

// Errors of a stream that does not hold the complete answer.
var (
	// ErrMismatch means that an event belongs to another request or attempt, has
	// an index outside the answer, or repeats an index with a different text.
	ErrMismatch = errors.New("streamer: event does not match the answer")
	// ErrGap means that an event is missing.
	ErrGap = errors.New("streamer: event is missing")
	// ErrTruncated means that the stream closed without its end marker.
	ErrTruncated = errors.New("streamer: stream closed without end marker")
	// ErrEventTimeout is the cause with which a watchdog cancels an attempt whose
	// next event does not arrive in time. A cancellation without it means that the
	// caller disconnected.
	ErrEventTimeout = errors.New("streamer: timed out waiting for the next event")
)

// Request is the request to an endpoint for one attempt at an answer.
type Request struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	Version   string `json:"version"` // version key, model@version
	Prompt    string `json:"prompt"`
	PriorText string `json:"prior_text,omitempty"` // text of the answer so far, which the endpoint continues
	MaxTokens int    `json:"max_tokens"`           // limit of this attempt; 0 asks for the end marker only
	Priority  int    `json:"priority"`             // larger values are served first
}

// Streamer assembles the answer to one request from the event streams of its
// attempts. It is not safe for concurrent use.
type Streamer struct {
	request      Request
	text         strings.Builder
	tokenStarts  []int // offset in text of each token of this attempt, in bytes
	tokens       int   // tokens over all attempts
	limit        int   // largest number of tokens of the whole answer
	complete     bool  // the end marker has arrived
	finishReason string
}

// New returns a streamer whose first attempt is r.
func New(r Request) *Streamer {
	s := &Streamer{request: r, limit: r.MaxTokens}
	s.text.WriteString(r.PriorText)
	return s
}

// Accept validates one event and returns the text to deliver. The text is empty
// for a repeated event and for the end marker. ErrMismatch and ErrGap leave the
// streamer unchanged.
func (s *Streamer) Accept(e framer.EngineEvent) (string, error) {
	if e.RequestID != s.request.RequestID || e.AttemptID != s.request.AttemptID {
		return "", errors.Wrapf(ErrMismatch, "request %q, attempt %q", e.RequestID, e.AttemptID)
	}
	if e.End {
		return "", s.end(e)
	}
	next := len(s.tokenStarts)
	switch {
	case e.Index < 0 || e.Index >= next && (s.complete || s.tokens >= s.limit):
		return "", errors.Wrapf(ErrMismatch, "index %d is outside the answer", e.Index)
	case e.Index > next:
		return "", errors.Wrapf(ErrGap, "index %d, expected %d", e.Index, next)
	case e.Index < next:
		return "", s.checkRepeated(e)
	}
	s.tokenStarts = append(s.tokenStarts, s.text.Len())
	s.text.WriteString(e.Text)
	s.tokens++
	return e.Text, nil
}

// checkRepeated validates an event whose index has already arrived.
func (s *Streamer) checkRepeated(e framer.EngineEvent) error {
	end := s.text.Len()
	if e.Index+1 < len(s.tokenStarts) {
		end = s.tokenStarts[e.Index+1]
	}
	if s.text.String()[s.tokenStarts[e.Index]:end] != e.Text {
		return errors.Wrapf(ErrMismatch, "index %d repeats with a different text", e.Index)
	}
	return nil
}

// end validates the end marker: its token count must match the attempt's.
func (s *Streamer) end(e framer.EngineEvent) error {
	if e.Tokens != len(s.tokenStarts) {
		return errors.Wrapf(ErrGap, "end after %d tokens, received %d", e.Tokens, len(s.tokenStarts))
	}
	if !s.complete {
		s.complete, s.finishReason = true, e.FinishReason
	}
	return nil
}

// Close returns how the attempt's stream ended: nil if the end marker arrived,
// otherwise ErrTruncated, or cause, if not nil, marked as ErrTruncated.
func (s *Streamer) Close(cause error) error {
	switch {
	case s.complete:
		return nil
	case cause == nil:
		return errors.Wrapf(ErrTruncated, "after %d tokens", len(s.tokenStarts))
	default:
		return errors.Mark(cause, ErrTruncated)
	}
}

// Complete reports whether the answer is complete: its end marker has arrived.
func (s *Streamer) Complete() bool { return s.complete }

// FinishReason returns the finish reason, or "" if the answer is not complete.
func (s *Streamer) FinishReason() string { return s.finishReason }

// Text returns the text of the answer so far.
func (s *Streamer) Text() string { return s.text.String() }

// Tokens returns the number of tokens accepted over all attempts.
func (s *Streamer) Tokens() int { return s.tokens }

// NextIndex returns the expected index of the attempt's next event.
func (s *Streamer) NextIndex() int { return len(s.tokenStarts) }

// NextAttempt starts another attempt on the same version and returns its request,
// which asks for a continuation of the text so far, limited to the tokens that
// remain.
func (s *Streamer) NextAttempt(attemptID string) Request {
	s.request.AttemptID = attemptID
	s.request.PriorText = s.text.String()
	s.request.MaxTokens = max(0, s.limit-s.tokens)
	s.tokenStarts = nil
	return s.request
}
