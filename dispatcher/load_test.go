package dispatcher

import (
	"net"
	"net/http"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/surgedetector"
)

// Guards against an endpoint that hangs or is very slow but looks idle. Delays
// used to be learned from first events only, so streams waited there past their
// deadline while other endpoints had capacity. Seen on kseal-router-grown,
// trouble-1.
func TestHangingEndpointIsNotIdle(t *testing.T) {
	l := &load{}
	overdue := &choice{work: 20, due: 1050}
	l.pending = append(l.pending, overdue, &choice{work: 20, due: 1400})
	tests := map[string]struct {
		now  clock.Millis
		want float64
	}{
		"not due":      {1000, 0},
		"one overdue":  {1350, 300},
		"both overdue": {2050, 1000},
		"long overdue": {5050, 4000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := l.expectedDelay(tt.now); got != tt.want {
				t.Errorf("delay at %d: got %v, want %v", tt.now, got, tt.want)
			}
		})
	}
	l.removePending(overdue)
	if got, want := l.expectedDelay(2050), 650.0; got != want {
		t.Errorf("delay after the first send ended: got %v, want %v", got, want)
	}
}

// Guards against the excess requests of one workspace being served with the same
// priority as those of all others.
func TestSurgeLowersPriority(t *testing.T) {
	f := newFleet(t, route(matcher.Stream, func(r *matcher.Route) { r.Public, r.Priority = false, 1 }),
		func(c net.Conn, r *http.Request, _ string) bool { return writeEvents(c, r, 1, 2, true) })
	// With these options every request after the first counts as a surge.
	f.dispatcher.surges = surgedetector.New(surgedetector.Options{Short: 1, Long: 2})
	for _, want := range []string{"1", "3"} {
		f.do("POST", "/a/x", "prompt", names.Key, "good", names.Tokens, "100,10")
		r, _ := f.endpoints[0].last()
		if got := r.Header.Get(names.Priority); got != want {
			t.Errorf("priority at the endpoint: got %q, want %q", got, want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
