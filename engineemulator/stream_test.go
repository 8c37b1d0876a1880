package engineemulator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/streamer"
)

// TestFaultsAndRecovery guards against a fault in a stream that the streamer
// misses or classifies wrongly, and against a recovery, at the same endpoint or
// at another one, whose text differs from the answer without a fault.
func TestFaultsAndRecovery(t *testing.T) {
	cases := map[string]struct {
		faults   Faults
		noResume bool
		want     error
		wantStep streamer.Step
	}{
		"none":                  {Faults{}, false, nil, streamer.StepDone},
		"repeated":              {Faults{DuplicateEvents: true}, false, nil, streamer.StepDone},
		"cut, resume":           {Faults{CutAt: 7}, false, streamer.ErrTruncated, streamer.StepResume},
		"cut, continue":         {Faults{CutAt: 7}, true, streamer.ErrTruncated, streamer.StepContinue},
		"cut, nothing sent":     {Faults{CutAt: 1}, true, streamer.ErrTruncated, streamer.StepRestart},
		"cut with regular end":  {Faults{CutAt: 7, CutWithEOF: true}, true, streamer.ErrTruncated, streamer.StepContinue},
		"cut before end marker": {Faults{CutAt: 21, CutWithEOF: true}, true, streamer.ErrTruncated, streamer.StepContinue},
		"another answer":        {Faults{MismatchAt: 4}, true, streamer.ErrMismatch, streamer.StepContinue},
		"end of another answer": {Faults{MismatchAt: 21}, false, streamer.ErrMismatch, streamer.StepResume},
		"missing event":         {Faults{SkipAt: 3}, true, streamer.ErrGap, streamer.StepContinue},
		"missing last event":    {Faults{SkipAt: 20}, false, streamer.ErrGap, streamer.StepResume},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first, second := start(t, Options{NoResume: c.noResume}), start(t, Options{})
			first.SetFaults(c.faults)
			q := request("a", 20)
			want := Answer(version, q.Prompt, 20)
			s := streamer.New(q)
			events, err := first.client.Generate(t.Context(), q)
			if err != nil {
				t.Fatal(err)
			}
			err = consume(s, events)
			if !errors.Is(err, c.want) || !strings.HasPrefix(want, s.Text()) {
				t.Fatalf("got %q, %v, want a prefix of %q and %v", s.Text(), err, want, c.want)
			}
			step, _ := streamer.NextStep(err, s.Tokens(), !c.noResume, true)
			if step != c.wantStep {
				t.Fatalf("got step %q, want %q", step, c.wantStep)
			}
			first.SetFaults(Faults{})
			switch step {
			case streamer.StepResume:
				events, err = first.client.Resume(t.Context(), q.RequestID, q.AttemptID, s.NextIndex())
			case streamer.StepContinue, streamer.StepRestart:
				events, err = second.client.Generate(t.Context(), s.NextAttempt("i/1/b"))
			}
			if err == nil && step != streamer.StepDone {
				err = consume(s, events)
			}
			if err != nil || !s.Complete() || s.Text() != want || s.Tokens() != 20 {
				t.Errorf("after %s: got %q, complete %t, %v, want %q", step, s.Text(), s.Complete(), err, want)
			}
			if got := first.ReceivedCount(version, 0); got != 1 {
				t.Errorf("received: got %d, want 1, without the resume", got)
			}
		})
	}
}

// TestHangAndConnectionLoss guards against a hung or lost engine that blocks its
// caller past the deadline, and against an abandoned attempt that keeps its place
// in the batch.
func TestHangAndConnectionLoss(t *testing.T) {
	e := start(t, Options{})
	e.SetFaults(Faults{HangAt: 3})
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	s := streamer.New(request("a", 20))
	events, err := e.client.Generate(ctx, request("a", 20))
	if err != nil {
		t.Fatal(err)
	}
	for event, err := range events {
		if err != nil {
			step, _ := streamer.NextStep(s.Close(err), s.Tokens(), false, true)
			if !errors.Is(err, engineclient.ErrOutcomeUnknown) || step != streamer.StepContinue {
				t.Errorf("stopped by a watchdog: got %v and step %q, want ErrOutcomeUnknown and continue", err, step)
			}
			break
		}
		if s.Accept(event); s.Tokens() == 2 {
			cancel(streamer.ErrEventTimeout)
		}
	}
	for l := (engineclient.Load{Running: 1}); l.Running > 0; l, _ = e.client.Load(t.Context()) {
		continue // an abandoned attempt that kept its place in the batch would block the test here
	}
	waitCtx, stop := context.WithTimeout(t.Context(), 10*time.Second) // bounds a failing test
	defer stop()
	if events, err = e.client.Generate(waitCtx, request("c", 20)); err != nil {
		t.Fatal(err)
	}
	if err := e.client.Cancel(t.Context(), "c", "i/1/c"); err != nil {
		t.Error(err)
	}
	err = consume(streamer.New(request("c", 20)), events)
	if !errors.Is(err, streamer.ErrTruncated) || waitCtx.Err() != nil {
		t.Errorf("cancelled attempt: got %v, %v, want ErrTruncated before the deadline", err, waitCtx.Err())
	}
	e.SetFaults(Faults{Down: true})
	if _, err := e.client.Generate(t.Context(), request("b", 20)); !errors.Is(err, engineclient.ErrOutcomeUnknown) {
		t.Errorf("engine that cuts connections: got %v, want ErrOutcomeUnknown", err)
	}
	closed := httptest.NewServer(e)
	closed.Close()
	client := engineclient.NewHTTP(closed.URL, "", http.DefaultClient)
	if _, err := client.Generate(t.Context(), request("b", 20)); !errors.Is(err, engineclient.ErrNotSent) {
		t.Errorf("closed port: got %v, want ErrNotSent", err)
	}
}
