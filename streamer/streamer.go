package streamer

import (
	"strings"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/framer"
)

// Sentinels of a stream that cannot be used as it is.
var (
	// ErrCrossed tells that a piece belongs to another request or attempt, is
	// outside the answer, or repeats an index with another text.
	ErrCrossed = errors.New("streamer: piece of another answer")
	// ErrGap tells that a piece is missing.
	ErrGap = errors.New("streamer: piece is missing")
	// ErrCut tells that the stream closed without its end marker.
	ErrCut = errors.New("streamer: stream closed without end marker")
	// ErrLate is the cause with which a watchdog cancels an attempt whose next
	// piece is late. Without it a cancelled attempt means that the caller left.
	ErrLate = errors.New("streamer: next piece is late")
)

// Request asks an endpoint for one attempt at an answer.
type Request struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	Version   string `json:"version"` // version key, model@version
	Prompt    string `json:"prompt"`
	PriorText string `json:"prior_text,omitempty"` // the answer so far, which the endpoint continues
	MaxTokens int    `json:"max_tokens"`           // tokens of this attempt; 0 asks for the end only
	Priority  int    `json:"priority"`             // larger goes first
}

// Streamer keeps the answer to one request over its attempts. It is for one
// goroutine.
type Streamer struct {
	request Request
	text    strings.Builder
	starts  []int // start of each piece of this attempt in the text
	tokens  int   // tokens over all attempts
	limit   int   // tokens that the caller asked for
	whole   bool
	finish  string
}

// New returns a streamer for the first attempt r.
func New(r Request) *Streamer {
	s := &Streamer{request: r, limit: r.MaxTokens}
	s.text.WriteString(r.PriorText)
	return s
}

// Accept checks one piece and returns the text to pass on. The text is empty
// for a repeated piece and for the end marker. After ErrCrossed or ErrGap the
// streamer is unchanged.
func (s *Streamer) Accept(p framer.Piece) (string, error) {
	if p.RequestID != s.request.RequestID || p.AttemptID != s.request.AttemptID {
		return "", errors.Wrapf(ErrCrossed, "request %q, attempt %q", p.RequestID, p.AttemptID)
	}
	if p.End {
		return "", s.end(p)
	}
	next := len(s.starts)
	switch {
	case p.Index < 0 || p.Index >= next && (s.whole || s.tokens >= s.limit):
		return "", errors.Wrapf(ErrCrossed, "index %d is outside the answer", p.Index)
	case p.Index > next:
		return "", errors.Wrapf(ErrGap, "index %d, expected %d", p.Index, next)
	case p.Index < next:
		return "", s.repeated(p)
	}
	s.starts = append(s.starts, s.text.Len())
	s.text.WriteString(p.Text)
	s.tokens++
	return p.Text, nil
}

func (s *Streamer) repeated(p framer.Piece) error {
	end := s.text.Len()
	if p.Index+1 < len(s.starts) {
		end = s.starts[p.Index+1]
	}
	if s.text.String()[s.starts[p.Index]:end] != p.Text {
		return errors.Wrapf(ErrCrossed, "index %d repeats with another text", p.Index)
	}
	return nil
}

func (s *Streamer) end(p framer.Piece) error {
	if p.Tokens != len(s.starts) {
		return errors.Wrapf(ErrGap, "end after %d tokens, received %d", p.Tokens, len(s.starts))
	}
	if !s.whole {
		s.whole, s.finish = true, p.Finish
	}
	return nil
}

// Close tells how the attempt's stream ended: nil if the end marker came after
// every piece, otherwise ErrCut, or cause marked as ErrCut.
func (s *Streamer) Close(cause error) error {
	switch {
	case s.whole:
		return nil
	case cause == nil:
		return errors.Wrapf(ErrCut, "after %d tokens", len(s.starts))
	default:
		return errors.Mark(cause, ErrCut)
	}
}

// Whole reports whether the answer is complete.
func (s *Streamer) Whole() bool { return s.whole }

// Finish returns why the answer ended, or "" if it has not ended.
func (s *Streamer) Finish() string { return s.finish }

// Text returns the answer so far.
func (s *Streamer) Text() string { return s.text.String() }

// Tokens returns the tokens accepted over all attempts.
func (s *Streamer) Tokens() int { return s.tokens }

// NextIndex returns the index that the attempt's next piece must carry.
func (s *Streamer) NextIndex() int { return len(s.starts) }

// Next starts another attempt on the same version and returns its request: it
// continues the text so far with the tokens that remain.
func (s *Streamer) Next(attemptID string) Request {
	s.request.AttemptID = attemptID
	s.request.PriorText = s.text.String()
	s.request.MaxTokens = max(0, s.limit-s.tokens)
	s.starts = nil
	return s.request
}
