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

// The seed is fixed; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// model is an engine that may send anything, and the caller behind a streamer.
type model struct {
	s         *Streamer
	right     []string // the one right answer, by token
	request   Request
	base      int // tokens of the answer before this attempt
	delivered string
	attempts  int
}

func (m *model) piece(index int) framer.Piece {
	text := ""
	if at := m.base + index; at < len(m.right) {
		text = m.right[at]
	}
	return framer.Piece{RequestID: m.request.RequestID, AttemptID: m.request.AttemptID, Index: index, Text: text}
}

func (m *model) end() framer.Piece {
	p := m.piece(0)
	p.End, p.Tokens, p.Text = true, len(m.right)-m.base, ""
	return p
}

func (m *model) accept(t *rapid.T, p framer.Piece) {
	text, err := m.s.Accept(p)
	if err != nil && text != "" {
		t.Fatalf("piece %+v: got text %q with error %v, want none", p, text, err)
	}
	m.delivered += text
}

// step lets the engine do one of the things that can go wrong, or the right one.
func (m *model) step(t *rapid.T) {
	next := m.s.NextIndex()
	last := len(m.right) - m.base
	switch rapid.SampledFrom([]string{"next", "next", "next", "late", "skip", "crossed", "end", "cut"}).Draw(t, "step") {
	case "next":
		if next < last {
			m.accept(t, m.piece(next))
		}
	case "late":
		if next > 0 {
			m.accept(t, m.piece(rapid.IntRange(0, next-1).Draw(t, "late index")))
		}
	case "skip":
		if next+1 < last {
			m.accept(t, m.piece(rapid.IntRange(next+1, last-1).Draw(t, "index")))
		}
	case "crossed":
		p := m.piece(next)
		p.Text = "crossed"
		if rapid.Bool().Draw(t, "other request") {
			p.RequestID = "other"
		} else {
			p.AttemptID = fmt.Sprint("i/1/", rapid.IntRange(-1, m.attempts-1).Draw(t, "old attempt"))
		}
		p.End = rapid.Bool().Draw(t, "crossed end")
		p.Tokens = next
		m.accept(t, p)
	case "end":
		m.accept(t, m.end())
	case "cut":
		if m.s.Close(nil) != nil && rapid.Bool().Draw(t, "continue") {
			m.restart()
		}
	}
}

func (m *model) restart() {
	m.attempts++
	m.request = m.s.Next(fmt.Sprint("i/1/", m.attempts))
	m.base = m.s.Tokens()
}

// TestDeliveredIsPrefix guards against a caller receiving a piece of another
// answer, a piece twice, an answer with a hole, or a broken answer that looks
// complete, for any interleaving of late, crossed, repeated and missing pieces
// and cuts; and against a streamer that cannot finish after them.
func TestDeliveredIsPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Short tokens repeat, so that a wrong order is not visible by chance only.
		right := rapid.SliceOfN(rapid.StringMatching(`[a-c]{1,2}`), 0, 12).Draw(t, "answer")
		request := Request{RequestID: "r", AttemptID: "i/1/0", MaxTokens: len(right)}
		m := &model{s: New(request), right: right, request: request}
		whole := strings.Join(right, "")
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			m.step(t)
			if !strings.HasPrefix(whole, m.delivered) || m.s.Text() != m.delivered {
				t.Fatalf("got %q (text %q), want a prefix of %q", m.delivered, m.s.Text(), whole)
			}
			if m.s.Whole() && m.delivered != whole {
				t.Fatalf("end reported after %q, want %q", m.delivered, whole)
			}
			if got, want := m.s.Close(nil) == nil, m.s.Whole(); got != want {
				t.Fatalf("closed as complete: got %t, want %t", got, want)
			}
		}
		if !m.s.Whole() {
			m.restart()
		}
		for i := m.s.NextIndex(); i < len(right)-m.base; i++ {
			m.accept(t, m.piece(i))
		}
		m.accept(t, m.end())
		if !m.s.Whole() || m.delivered != whole {
			t.Fatalf("after a clean rest: got %q, whole %t, want %q", m.delivered, m.s.Whole(), whole)
		}
	})
}

// TestAccept guards against two faults of a stream being reported as one.
func TestAccept(t *testing.T) {
	good := framer.Piece{RequestID: "r", AttemptID: "a", Index: 0, Text: "x"}
	with := func(change func(*framer.Piece)) framer.Piece {
		p := good
		change(&p)
		return p
	}
	cases := map[string]struct {
		piece framer.Piece
		want  error
	}{
		"repeated":              {good, nil},
		"repeated, other text":  {with(func(p *framer.Piece) { p.Text = "y" }), ErrCrossed},
		"negative index":        {with(func(p *framer.Piece) { p.Index = -1 }), ErrCrossed},
		"other request":         {with(func(p *framer.Piece) { p.RequestID = "q" }), ErrCrossed},
		"other attempt":         {with(func(p *framer.Piece) { p.AttemptID = "b" }), ErrCrossed},
		"missing piece":         {with(func(p *framer.Piece) { p.Index = 2 }), ErrGap},
		"end before last piece": {with(func(p *framer.Piece) { p.End, p.Tokens = true, 2 }), ErrGap},
		"end of another answer": {with(func(p *framer.Piece) { p.RequestID, p.End, p.Tokens = "q", true, 1 }), ErrCrossed},
		"end":                   {with(func(p *framer.Piece) { p.End, p.Tokens = true, 1 }), nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(Request{RequestID: "r", AttemptID: "a", MaxTokens: 5})
			if _, err := s.Accept(good); err != nil {
				t.Fatalf("first piece: %v", err)
			}
			text, err := s.Accept(c.piece)
			if !errors.Is(err, c.want) || text != "" {
				t.Errorf("got %q, %v, want no text and %v", text, err, c.want)
			}
			wantCut := name != "end"
			if got := errors.Is(s.Close(nil), ErrCut); got != wantCut {
				t.Errorf("cut: got %t, want %t", got, wantCut)
			}
			text, err = s.Accept(with(func(p *framer.Piece) { p.Index = 1 }))
			if got := errors.Is(err, ErrCrossed); got == wantCut || (text == "") == wantCut {
				t.Errorf("next piece: got %q, %v, want it refused only after the end", text, err)
			}
		})
	}
}

// TestPlan guards against a restart after the caller has text, a resume of an
// attempt that never ran, and an end without an explicit error.
func TestPlan(t *testing.T) {
	cut := errors.Wrap(ErrCut, "test")
	cases := map[string]struct {
		cause              error
		delivered          int
		resume, anotherOne bool
		want               Step
	}{
		"whole":                       {nil, 5, true, true, StepDone},
		"cut, resume offered":         {cut, 5, true, true, StepResume},
		"cut, no resume":              {cut, 5, false, true, StepContinue},
		"cut, no endpoint left":       {cut, 5, false, false, StepGiveUp},
		"cut, nothing delivered":      {cut, 0, false, true, StepRestart},
		"not sent, resume offered":    {exchanger.ErrNotSent, 0, true, true, StepRestart},
		"refused after text":          {exchanger.ErrRefused, 5, true, true, StepContinue},
		"crossed, one endpoint":       {ErrCrossed, 5, true, false, StepResume},
		"gap, nothing offered":        {ErrGap, 1, false, false, StepGiveUp},
		"late, cancelled by watchdog": {errors.Mark(context.Canceled, ErrLate), 5, false, true, StepContinue},
		"caller has left":             {context.Canceled, 5, true, true, StepGiveUp},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := Plan(c.cause, c.delivered, c.resume, c.anotherOne)
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if wantErr := c.want == StepGiveUp; errors.Is(err, refuser.ErrStreamBroken) != wantErr {
				t.Errorf("got error %v, want an explicit one: %t", err, wantErr)
			}
		})
	}
}

// TestTokenLimit guards against an endpoint that never stops, and against an
// attempt that asks for more than remains.
func TestTokenLimit(t *testing.T) {
	r := Request{RequestID: "r", AttemptID: "a", MaxTokens: 2}
	s := New(r)
	for i, want := range []error{nil, nil, ErrCrossed} {
		_, err := s.Accept(framer.Piece{RequestID: "r", AttemptID: "a", Index: i, Text: "x"})
		if !errors.Is(err, want) {
			t.Errorf("piece %d of 2: got %v, want %v", i, err, want)
		}
	}
	next := s.Next("b")
	if next.MaxTokens != 0 || next.PriorText != "xx" || s.Whole() {
		t.Errorf("next attempt: got %+v, whole %t, want 0 tokens after xx, not whole", next, s.Whole())
	}
	_, err := s.Accept(framer.Piece{RequestID: "r", AttemptID: "b", End: true, Finish: framer.FinishLength})
	if err != nil || !s.Whole() || s.Finish() != framer.FinishLength {
		t.Errorf("end: got %v, whole %t, finish %q, want a whole answer", err, s.Whole(), s.Finish())
	}
}
