package dispatcher

import (
	"net"
	"net/http"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// Guards against a limit on requests before a stop that does not hold from its very instant
// on, or that refuses requests of the other kind (LOST, review/9), and against a stream that
// is taken though it is expected to last until after the stop.
func TestStopSchedule(t *testing.T) {
	stream, plain := route(matcher.Stream, nil), route(matcher.Safe, nil)
	s := &stopSchedule{streamsUntil: 3000, responsesBy: 7500}
	tests := map[string]struct {
		now, expected clock.Millis
		route         matcher.Route
		want          bool
	}{
		"stream before the limit":       {2999, 0, stream, false},
		"stream at the limit":           {3000, 0, stream, true},
		"stream that just ends":         {2000, 5500, stream, false},
		"stream that does not end":      {2001, 5500, stream, true},
		"plain after the stream limit":  {3000, 0, plain, false},
		"plain with four targets left":  {7500 - 4*200, 0, plain, false},
		"plain with less time left":     {7500 - 4*200 + 1, 0, plain, true},
		"plain after the end of a stop": {8000, 0, plain, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := s.refuses(tt.now, &tt.route, tt.expected); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a stream that is taken in a planned stop, although earlier ones lasted for
// longer than is left, and that is cut at the end. Without another instance its beginning is
// better than a refusal.
func TestStreamThatOutlivesTheProcess(t *testing.T) {
	const lasts = 300 * time.Millisecond
	tests := map[string]struct {
		left   clock.Millis // until the end
		peer   bool         // another instance is ready
		resume bool         // the client resumes the streams that were served before
		status int
	}{
		"no time left":      {clock.FromDuration(lasts / 2), true, false, 503},
		"time left":         {10 * clock.Second, true, false, 200},
		"no other instance": {clock.FromDuration(lasts / 2), false, false, 200},
		"only resumed ones": {clock.FromDuration(lasts / 2), true, true, 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, route(matcher.Stream, resumable), func(c net.Conn, r *http.Request, _ string) bool {
				time.Sleep(lasts)
				return writeEvents(c, r, 1, 4, true)
			})
			f.dispatcher.options.PeerReady = func() bool { return tt.peer }
			var headers []string
			if tt.resume {
				headers = []string{names.LastEvent, "0"}
			}
			if got := f.do("POST", "/a/x", "b", headers...); got.status != 200 {
				t.Fatalf("before the stop: got %d, %v, want 200", got.status, got.err)
			}
			now := f.confirmed()
			f.dispatcher.Drain(now+clock.Minute, now+tt.left)
			sent := f.sent()
			if got := f.do("POST", "/a/x", "b"); got.status != tt.status {
				t.Errorf("got %d, want %d", got.status, tt.status)
			}
			if got, want := f.sent()-sent, map[int]int{200: 1}[tt.status]; got != want {
				t.Errorf("got %d sends, want %d", got, want)
			}
		})
	}
}

// Guards against an error body that calls a request not executed although it was sent: the
// deadline passed while the endpoint had it.
func TestDeadlineAfterTheSend(t *testing.T) {
	kinds := map[string]matcher.Kind{"unsafe": matcher.Unsafe, "safe": matcher.Safe, "stream": matcher.Stream}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, route(kind, func(r *matcher.Route) { r.Timeout, r.Attempts = 300, 1 }), stall(0))
			got := f.do("POST", "/a/x", "b")
			refusal, ok := refuser.Decode(got.status, []byte(got.body))
			if !ok || refusal.Status != http.StatusGatewayTimeout || refusal.Execution != refuser.ExecutionUnknown {
				t.Errorf("got %d %s, want 504 and an unknown execution", got.status, got.body)
			}
		})
	}
}
