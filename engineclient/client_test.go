package engineclient

import (
	"bufio"
	"context"
	"io"
	"net"
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

// TestLateCopyOfARefusal guards against a late second copy of a refusal that is taken
// for the response to the next attempt on the connection: the attempt would count as
// not executed while the engine executes it.
func TestLateCopyOfARefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nContent-Length: 28\r\n\r\n" + `{"reason":"full","run":"no"}`
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if n > 0 || r.URL.Path != "/v1/generate" {
						_, _ = io.WriteString(c, refusal) // on a reused connection, the late copy
						continue
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	client := NewHTTP("http://"+listener.Addr().String(), "", &http.Client{Transport: &http.Transport{}})
	if err := client.Cancel(t.Context(), "r", "a"); !errors.Is(err, ErrRefused) {
		t.Fatalf("cancel: got %v, want ErrRefused", err)
	}
	_, err = client.Generate(t.Context(), streamer.Request{RequestID: "r", AttemptID: "b"})
	if errors.Is(err, ErrRefused) {
		t.Errorf("got %v for an attempt that the engine executes, want ErrOutcomeUnknown", err)
	}
}
