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
// does not see or names wrongly, and against a recovery, on the same endpoint or
// on another one, whose text differs from that of an undisturbed answer.
func TestFaultsAndRecovery(t *testing.T) {
	cases := map[string]struct {
		faults   Faults
		noResume bool
		want     error
		wantStep streamer.Step
	}{
		"none":                  {Faults{}, false, nil, streamer.StepDone},
		"repeated":              {Faults{Repeat: true}, false, nil, streamer.StepDone},
		"cut, resume":           {Faults{CutAt: 7}, false, streamer.ErrCut, streamer.StepResume},
		"cut, continue":         {Faults{CutAt: 7}, true, streamer.ErrCut, streamer.StepContinue},
		"cut, nothing sent":     {Faults{CutAt: 1}, true, streamer.ErrCut, streamer.StepRestart},
		"cut that looks whole":  {Faults{CutAt: 7, CutQuietly: true}, true, streamer.ErrCut, streamer.StepContinue},
		"cut before end marker": {Faults{CutAt: 21, CutQuietly: true}, true, streamer.ErrCut, streamer.StepContinue},
		"crossed":               {Faults{CrossAt: 4}, true, streamer.ErrCrossed, streamer.StepContinue},
		"crossed end":           {Faults{CrossAt: 21}, false, streamer.ErrCrossed, streamer.StepResume},
		"missing piece":         {Faults{SkipAt: 3}, true, streamer.ErrGap, streamer.StepContinue},
		"missing last piece":    {Faults{SkipAt: 20}, false, streamer.ErrGap, streamer.StepResume},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			first, second := start(t, Options{NoResume: c.noResume}), start(t, Options{})
			first.SetFaults(c.faults)
			q := request("a", 20)
			want := Answer(version, q.Prompt, 20)
			s := streamer.New(q)
			pieces, err := first.client.Generate(t.Context(), q)
			if err != nil {
				t.Fatal(err)
			}
			err = consume(s, pieces)
			if !errors.Is(err, c.want) || !strings.HasPrefix(want, s.Text()) {
				t.Fatalf("got %q, %v, want a prefix of %q and %v", s.Text(), err, want, c.want)
			}
			step, _ := streamer.Plan(err, s.Tokens(), !c.noResume, true)
			if step != c.wantStep {
				t.Fatalf("got step %q, want %q", step, c.wantStep)
			}
			first.SetFaults(Faults{})
			switch step {
			case streamer.StepResume:
				pieces, err = first.client.Resume(t.Context(), q.RequestID, q.AttemptID, s.NextIndex())
			case streamer.StepContinue, streamer.StepRestart:
				pieces, err = second.client.Generate(t.Context(), s.Next("i/1/b"))
			}
			if err == nil && step != streamer.StepDone {
				err = consume(s, pieces)
			}
			if err != nil || !s.Whole() || s.Text() != want || s.Tokens() != 20 {
				t.Errorf("after %s: got %q, whole %t, %v, want %q", step, s.Text(), s.Whole(), err, want)
			}
			if got := first.Received(version, 0); got != 1 {
				t.Errorf("received: got %d, want 1, without the resume", got)
			}
		})
	}
}

// TestHangAndDeath guards against a hung or dead engine that holds its caller
// past the deadline, and against a death in mid-stream that keeps its work.
func TestHangAndDeath(t *testing.T) {
	e := start(t, Options{})
	e.SetFaults(Faults{HangAt: 3})
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	s := streamer.New(request("a", 20))
	pieces, err := e.client.Generate(ctx, request("a", 20))
	if err != nil {
		t.Fatal(err)
	}
	for p, err := range pieces {
		if err != nil {
			step, _ := streamer.Plan(s.Close(err), s.Tokens(), false, true)
			if !errors.Is(err, engineclient.ErrUnknown) || step != streamer.StepContinue {
				t.Errorf("stopped by a watchdog: got %v and step %q, want ErrUnknown and continue", err, step)
			}
			break
		}
		if s.Accept(p); s.Tokens() == 2 {
			cancel(streamer.ErrLate)
		}
	}
	for l := (engineclient.Load{Running: 1}); l.Running > 0; l, _ = e.client.Load(t.Context()) {
		continue // an abandoned attempt that kept its place would hold the test here
	}
	patient, stop := context.WithTimeout(t.Context(), 10*time.Second) // ends a test that fails
	defer stop()
	if pieces, err = e.client.Generate(patient, request("c", 20)); err != nil {
		t.Fatal(err)
	}
	if err := e.client.Cancel(t.Context(), "c", "i/1/c"); err != nil {
		t.Error(err)
	}
	err = consume(streamer.New(request("c", 20)), pieces)
	if !errors.Is(err, streamer.ErrCut) || patient.Err() != nil {
		t.Errorf("cancelled attempt: got %v, %v, want ErrCut before the deadline", err, patient.Err())
	}
	e.SetFaults(Faults{Down: true})
	if _, err := e.client.Generate(t.Context(), request("b", 20)); !errors.Is(err, engineclient.ErrUnknown) {
		t.Errorf("dead engine that took the request: got %v, want ErrUnknown", err)
	}
	dead := httptest.NewServer(e)
	dead.Close()
	client := engineclient.NewHTTP(dead.URL, "", http.DefaultClient)
	if _, err := client.Generate(t.Context(), request("b", 20)); !errors.Is(err, engineclient.ErrNotSent) {
		t.Errorf("closed port: got %v, want ErrNotSent", err)
	}
}
