package streamer

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/exchanger"
	"rosemaryarch.example/rosemaryarch/framer"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// The default seed is fixed; the flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// model simulates an engine that may send any event, and the caller that a
// streamer serves.
type model struct {
	s         *Streamer
	answer    []string // tokens of the correct answer
	request   Request
	base      int // number of tokens before this attempt
	delivered string
	attempts  int // after the first one
}

func (m *model) event(index int) framer.EngineEvent {
	text := ""
	if at := m.base + index; at < len(m.answer) {
		text = m.answer[at]
	}
	return framer.EngineEvent{RequestID: m.request.RequestID, AttemptID: m.request.AttemptID, Index: index, Text: text}
}

func (m *model) end() framer.EngineEvent {
	e := m.event(0)
	e.End, e.Tokens, e.Text = true, len(m.answer)-m.base, ""
	return e
}

func (m *model) accept(t *rapid.T, e framer.EngineEvent) {
	text, err := m.s.Accept(e)
	if err != nil && text != "" {
		t.Fatalf("event %+v: got text %q with error %v, want none", e, text, err)
	}
	m.delivered += text
}

// step makes the engine send a correct event or inject one kind of fault.
func (m *model) step(t *rapid.T) {
	next := m.s.NextIndex()
	last := len(m.answer) - m.base
	switch rapid.SampledFrom([]string{
		"next", "next", "next", "repeated", "skip", "mismatch", "end", "close",
	}).Draw(t, "step") {
	case "next":
		if next < last {
			m.accept(t, m.event(next))
		}
	case "repeated":
		if next > 0 {
			m.accept(t, m.event(rapid.IntRange(0, next-1).Draw(t, "repeated index")))
		}
	case "skip":
		if next+1 < last {
			m.accept(t, m.event(rapid.IntRange(next+1, last-1).Draw(t, "index")))
		}
	case "mismatch":
		e := m.event(next)
		e.Text = "other"
		if rapid.Bool().Draw(t, "other request") {
			e.RequestID = "other"
		} else {
			e.AttemptID = fmt.Sprint("i/1/", rapid.IntRange(-1, m.attempts-1).Draw(t, "old attempt"))
		}
		e.End = rapid.Bool().Draw(t, "other end")
		e.Tokens = next
		m.accept(t, e)
	case "end":
		m.accept(t, m.end())
	case "close":
		if m.s.Close(nil) != nil && rapid.Bool().Draw(t, "continue") {
			m.restart()
		}
	}
}

func (m *model) restart() {
	m.attempts++
	m.request = m.s.NextAttempt(fmt.Sprint("i/1/", m.attempts))
	m.base = m.s.Tokens()
}

// TestDeliveredIsPrefix guards against a caller that receives a token of another
// answer, a token twice, an answer with a gap, or a truncated answer that looks
// complete, for any interleaving of repeated, mismatched and missing events and
// closed streams. It also guards against a streamer that cannot complete the
// answer after such faults.
func TestDeliveredIsPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Short tokens from a small alphabet often have equal texts, so that a
		// wrong order does not always show as a difference of texts.
		answer := rapid.SliceOfN(rapid.StringMatching(`[a-c]{1,2}`), 0, 12).Draw(t, "answer")
		request := Request{RequestID: "r", AttemptID: "i/1/0", MaxTokens: len(answer)}
		m := &model{s: New(request), answer: answer, request: request}
		complete := strings.Join(answer, "")
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			m.step(t)
			if !strings.HasPrefix(complete, m.delivered) || m.s.Text() != m.delivered {
				t.Fatalf("got %q (text %q), want a prefix of %q", m.delivered, m.s.Text(), complete)
			}
			if m.s.Complete() && m.delivered != complete {
				t.Fatalf("reported as complete after %q, want %q", m.delivered, complete)
			}
			if got, want := m.s.Close(nil) == nil, m.s.Complete(); got != want {
				t.Fatalf("closed as complete: got %t, want %t", got, want)
			}
		}
		if !m.s.Complete() {
			m.restart()
		}
		for i := m.s.NextIndex(); i < len(answer)-m.base; i++ {
			m.accept(t, m.event(i))
		}
		m.accept(t, m.end())
		if !m.s.Complete() || m.delivered != complete {
			t.Fatalf("after a correct rest: got %q, complete %t, want %q", m.delivered, m.s.Complete(), complete)
		}
	})
}

// TestAccept guards against a fault of a stream being reported as another one.
func TestAccept(t *testing.T) {
	good := framer.EngineEvent{RequestID: "r", AttemptID: "a", Index: 0, Text: "x"}
	with := func(change func(*framer.EngineEvent)) framer.EngineEvent {
		e := good
		change(&e)
		return e
	}
	cases := map[string]struct {
		event framer.EngineEvent
		want  error
	}{
		"repeated":              {good, nil},
		"repeated, other text":  {with(func(e *framer.EngineEvent) { e.Text = "y" }), ErrMismatch},
		"negative index":        {with(func(e *framer.EngineEvent) { e.Index = -1 }), ErrMismatch},
		"other request":         {with(func(e *framer.EngineEvent) { e.RequestID = "q" }), ErrMismatch},
		"other attempt":         {with(func(e *framer.EngineEvent) { e.AttemptID = "b" }), ErrMismatch},
		"missing event":         {with(func(e *framer.EngineEvent) { e.Index = 2 }), ErrGap},
		"end before last event": {with(func(e *framer.EngineEvent) { e.End, e.Tokens = true, 2 }), ErrGap},
		"end of another answer": {
			with(func(e *framer.EngineEvent) { e.RequestID, e.End, e.Tokens = "q", true, 1 }), ErrMismatch,
		},
		"end": {with(func(e *framer.EngineEvent) { e.End, e.Tokens = true, 1 }), nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(Request{RequestID: "r", AttemptID: "a", MaxTokens: 5})
			if _, err := s.Accept(good); err != nil {
				t.Fatalf("first event: %v", err)
			}
			text, err := s.Accept(c.event)
			if !errors.Is(err, c.want) || text != "" {
				t.Errorf("got %q, %v, want no text and %v", text, err, c.want)
			}
			wantTruncated := name != "end"
			if got := errors.Is(s.Close(nil), ErrTruncated); got != wantTruncated {
				t.Errorf("truncated: got %t, want %t", got, wantTruncated)
			}
			text, err = s.Accept(with(func(e *framer.EngineEvent) { e.Index = 1 }))
			if got := errors.Is(err, ErrMismatch); got == wantTruncated || (text == "") == wantTruncated {
				t.Errorf("next event: got %q, %v, want it refused only after the end", text, err)
			}
		})
	}
}

// TestNextStep guards against a restart after the caller has received text, a resume
// of an attempt that never ran, and giving up without an explicit error.
func TestNextStep(t *testing.T) {
	truncated := errors.Wrap(ErrTruncated, "test")
	cases := map[string]struct {
		cause           error
		delivered       int
		resume, another bool
		want            Step
	}{
		"complete":                         {nil, 5, true, true, StepDone},
		"truncated, resume offered":        {truncated, 5, true, true, StepResume},
		"truncated, no resume":             {truncated, 5, false, true, StepContinue},
		"truncated, no endpoint left":      {truncated, 5, false, false, StepGiveUp},
		"truncated, nothing delivered":     {truncated, 0, false, true, StepRestart},
		"not sent, resume offered":         {exchanger.ErrNotSent, 0, true, true, StepRestart},
		"refused after text":               {exchanger.ErrRefused, 5, true, true, StepContinue},
		"mismatch, one endpoint":           {ErrMismatch, 5, true, false, StepResume},
		"gap, nothing offered":             {ErrGap, 1, false, false, StepGiveUp},
		"timed out, cancelled by watchdog": {errors.Mark(context.Canceled, ErrEventTimeout), 5, false, true, StepContinue},
		"caller disconnected":              {context.Canceled, 5, true, true, StepGiveUp},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := NextStep(c.cause, c.delivered, c.resume, c.another)
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if wantErr := c.want == StepGiveUp; errors.Is(err, refuser.ErrStreamBroken) != wantErr {
				t.Errorf("got error %v, want an explicit one: %t", err, wantErr)
			}
		})
	}
}

// TestTokenLimit guards against an endpoint that sends more tokens than the
// limit, and against an attempt that asks for more than remain.
func TestTokenLimit(t *testing.T) {
	r := Request{RequestID: "r", AttemptID: "a", MaxTokens: 2}
	s := New(r)
	for i, want := range []error{nil, nil, ErrMismatch} {
		_, err := s.Accept(framer.EngineEvent{RequestID: "r", AttemptID: "a", Index: i, Text: "x"})
		if !errors.Is(err, want) {
			t.Errorf("event %d of 2: got %v, want %v", i, err, want)
		}
	}
	next := s.NextAttempt("b")
	if next.MaxTokens != 0 || next.PriorText != "xx" || s.Complete() {
		t.Errorf("next attempt: got %+v, complete %t, want 0 tokens after xx, not complete", next, s.Complete())
	}
	_, err := s.Accept(framer.EngineEvent{RequestID: "r", AttemptID: "b", End: true, FinishReason: framer.FinishLength})
	if err != nil || !s.Complete() || s.FinishReason() != framer.FinishLength {
		t.Errorf("end: got %v, complete %t, finish %q, want a complete answer", err, s.Complete(), s.FinishReason())
	}
}
