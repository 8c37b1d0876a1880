package engineclient

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/framer"
	"rosemaryarch.example/rosemaryarch/streamer"
)

// TestMalformedStreams guards against malformed output of an engine that is
// returned as an event, uses unbounded memory, or ends like a complete answer.
func TestMalformedStreams(t *testing.T) {
	good := `data: {"request_id":"r","attempt_id":"a","index":0,"text":"x"}` + "\n\n"
	cases := map[string]struct {
		body       string
		want       error
		wantEvents int
	}{
		"no end marker":       {good, nil, 1}, // detected by package streamer
		"truncated event":     {good + good[:20], ErrOutcomeUnknown, 1},
		"not an engine event": {good + "data: [1]\n\n", framer.ErrInvalidEngineEvent, 1},
		"huge event":          {good + "data: " + strings.Repeat("x", framer.MaxEventBytes), framer.ErrTooLarge, 1},
		"HTML page":           {"<html>\n\n</html>\n", nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(c.body))
			}))
			defer srv.Close()
			events, err := NewHTTP(srv.URL, "", srv.Client()).Generate(t.Context(), streamer.Request{RequestID: "r"})
			if err != nil {
				t.Fatal(err)
			}
			got := 0
			for _, e := range events {
				if e == nil {
					got++
				}
				err = e
			}
			if !errors.Is(err, c.want) || err != nil && !errors.Is(err, ErrOutcomeUnknown) || got != c.wantEvents {
				t.Errorf("got %d events, %v, want %d, %v", got, err, c.wantEvents, c.want)
			}
		})
	}
}

// TestRefusalReasons guards against a reason without its own error.
func TestRefusalReasons(t *testing.T) {
	cases := map[string]error{
		ReasonCold: ErrCold, ReasonFull: ErrQueueFull, ReasonNotLoaded: ErrNotLoaded, ReasonNoAttempt: ErrNotResumable,
		ReasonFenced: ErrFenced, ReasonForbidden: ErrForbidden, ReasonNoWeights: ErrNoWeights, "other": ErrRefused,
	}
	for reason, want := range cases {
		t.Run(reason, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write([]byte(`{"run":"no","reason":"` + reason + `"}`))
			}))
			defer srv.Close()
			err := NewHTTP(srv.URL, "", srv.Client()).Command(t.Context(), 1, ActionLoad, "m@1")
			if !errors.Is(err, want) || !errors.Is(err, ErrRefused) {
				t.Errorf("got %v, want %v and ErrRefused", err, want)
			}
		})
	}
}

// TestCancelCause guards against a cancellation by the watchdog before the first
// byte that looks like one by the caller.
func TestCancelCause(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	arrived := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(arrived)
		<-r.Context().Done()
	}))
	defer srv.Close()
	go func() {
		<-arrived
		cancel(streamer.ErrEventTimeout)
	}()
	_, err := NewHTTP(srv.URL, "", srv.Client()).Generate(ctx, streamer.Request{})
	if !errors.Is(err, streamer.ErrEventTimeout) || !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrEventTimeout and ErrOutcomeUnknown", err)
	}
}
