package exchanger

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// TestClassification guards against ErrNotSent for a request that left this
// process, and against ErrRefused without a statement of the other side that it
// did not execute the request.
func TestClassification(t *testing.T) {
	write := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	cases := map[string]struct {
		handler   http.HandlerFunc
		cancelled bool
		want      error
		wantRetry clock.Millis
	}{
		"success":          {write(200, `{"a":1}`), false, nil, 0},
		"invalid response": {write(200, `{"a":`), false, ErrOutcomeUnknown, 0},
		"empty response":   {write(200, ""), false, ErrOutcomeUnknown, 0},
		"refused":          {write(503, `{"reason":"busy","run":"no"}`), false, ErrRefused, 3000},
		"executed, failed": {write(500, `{"reason":"x","run":"yes"}`), false, ErrOutcomeUnknown, 3000},
		"no statement":     {write(503, `{}`), false, ErrOutcomeUnknown, 3000},
		"not JSON":         {write(404, "run: no"), false, ErrOutcomeUnknown, 3000},
		"wrong type":       {write(503, `{"run":"no","reason":5}`), false, ErrOutcomeUnknown, 3000},
		"disconnected": {
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, ErrOutcomeUnknown, 0,
		},
		"cancelled before": {write(200, "{}"), true, ErrNotSent, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(c.handler)
			defer srv.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.cancelled {
				cancel()
			}
			var out struct{ A int }
			err := JSON(ctx, srv.Client(), http.MethodPost, srv.URL, nil, struct{}{}, &out)
			for _, sentinel := range []error{ErrNotSent, ErrOutcomeUnknown, ErrRefused} {
				if got, want := errors.Is(err, sentinel), sentinel == c.want; got != want {
					t.Errorf("%v is %v: got %t, want %t", err, sentinel, got, want)
				}
			}
			var s *StatusError
			if errors.As(err, &s) && s.RetryAfter != c.wantRetry {
				t.Errorf("retry after: got %d, want %d", s.RetryAfter, c.wantRetry)
			}
		})
	}
}

// TestConnectionFailures guards against ErrNotSent for a request whose connection
// opened and then closed, and against ErrOutcomeUnknown for one whose dial failed.
func TestConnectionFailures(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := "http://" + l.Addr().String()
	go func() {
		if c, err := l.Accept(); err == nil {
			_ = c.Close()
		}
	}()
	client := &http.Client{Transport: &http.Transport{}}
	err = JSON(t.Context(), client, http.MethodPost, target, nil, struct{}{}, nil)
	if !errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotSent) {
		t.Errorf("connection closed: got %v, want ErrOutcomeUnknown", err)
	}
	_ = l.Close()
	err = JSON(t.Context(), client, http.MethodPost, target, nil, struct{}{}, nil)
	if !errors.Is(err, ErrNotSent) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("closed port: got %v, want ErrNotSent", err)
	}
}

// TestWriteRefusal guards against a refusal that the client decodes differently from
// what an emulator wrote.
func TestWriteRefusal(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteRefusal(w, StatusError{Status: 429, Reason: "limited", Execution: refuser.NotExecuted, RetryAfter: 1200})
	}))
	defer srv.Close()
	err := JSON(t.Context(), srv.Client(), http.MethodGet, srv.URL, nil, nil, nil)
	var s *StatusError
	if !errors.As(err, &s) || s.Reason != "limited" || s.RetryAfter != 2000 || !errors.Is(err, ErrRefused) {
		t.Errorf("got %+v, want a refusal with 2000 ms, whole seconds rounded up", err)
	}
}
