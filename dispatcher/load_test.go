package dispatcher

import (
	"net"
	"net/http"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/surger"
)

// Guards against an endpoint that hangs or is very slow and looks idle, since
// delays were learnt from first events only: streams waited there past their
// deadline while others had room (kseal-router-grown, trouble-1).
func TestHangingEndpointIsNotIdle(t *testing.T) {
	l := &load{}
	hung := &choice{work: 20, due: 1050}
	l.pending = append(l.pending, hung, &choice{work: 20, due: 1400})
	tests := map[string]struct {
		now  clock.Millis
		want float64
	}{
		"not due":        {1000, 0},
		"one is due":     {1350, 300},
		"both are due":   {2050, 1000},
		"long after all": {5050, 4000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := l.waiting(tt.now); got != tt.want {
				t.Errorf("delay at %d: got %v, want %v", tt.now, got, tt.want)
			}
		})
	}
	l.noLongerPending(hung)
	if got, want := l.waiting(2050), 650.0; got != want {
		t.Errorf("delay after the first send ended: got %v, want %v", got, want)
	}
}

// Guards against the excess of one workspace that is served like the requests of
// all others (pattern: hot tenant).
func TestSurgingWorkspaceYields(t *testing.T) {
	f := newFleet(t, route(matcher.Stream, func(r *matcher.Route) { r.Public, r.Priority = false, 1 }),
		func(c net.Conn, r *http.Request, _ string) bool { return events(c, r, 1, 2, true) })
	// Every request after the first counts as a surge.
	f.dispatcher.surges = surger.New(surger.Options{Short: 1, Long: 2})
	for _, want := range []string{"1", "3"} {
		f.do("POST", "/a/x", "prompt", names.Key, "good", names.Tokens, "100,10")
		r, _ := f.endpoints[0].last()
		if got := r.Header.Get(names.Priority); got != want {
			t.Errorf("priority at the endpoint: got %q, want %q", got, want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
