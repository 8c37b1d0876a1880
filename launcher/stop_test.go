package launcher

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/platform"
)

// Guards against requests that are taken late in a planned stop, passed on, and cut
// without an answer when the process exits (soak rule LOST). Each gets its final answer
// before the end of the grace, and one that states that it was not run was not sent.
func TestLateRequestsInPlannedStop(t *testing.T) {
	s := newSite(t)
	var sent atomic.Int64
	left := make(chan struct{})
	slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		select {
		case <-r.Context().Done():
		case <-left:
		}
	}))
	t.Cleanup(slow.Close)
	t.Cleanup(func() { close(left) })
	s.put(platform.EndpointKind, "i-1", map[string]any{
		"service": "s", "address": slow.Listener.Addr().String(), "zone": "a", "version": "v1", "maxBatch": 100,
		"phase": "ready", "warmupLeftMs": 0, "sequence": 2,
	})
	const ip = "127.0.0.101"
	p := freePorts(t, 4)
	var out output
	l, err := New(s.settings("edge-1", ip, p), &out)
	if err != nil {
		t.Fatal(err)
	}
	signals := make(chan os.Signal, 1)
	var ended time.Time
	var process sync.WaitGroup
	process.Go(func() {
		if err := l.serve(signals); err != nil {
			t.Error(err)
		}
		ended = time.Now()
	})
	eventually(t, 8*time.Second, "endpoint known", func() bool { return l.endpointsListed.Load() })
	signals <- syscall.SIGTERM
	stop := time.Now()
	var requests sync.WaitGroup
	answers := make([]struct {
		status int
		at     time.Time
	}, 8)
	for i := range answers {
		requests.Go(func() {
			time.Sleep(time.Until(stop.Add(time.Duration(50+90*i) * time.Millisecond)))
			answers[i].status, _ = post(fmt.Sprintf("http://%s:%d/p/x", ip, p[1]), "key-1")
			answers[i].at = time.Now()
		})
	}
	requests.Wait()
	process.Wait()
	executed := int64(0)
	for i, a := range answers {
		if a.status == http.StatusGatewayTimeout {
			executed++
		}
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusGatewayTimeout || a.at.After(ended) {
			t.Errorf("request after %d ms: got %d, %v after the end of the process, want 503 or 504 before",
				50+90*i, a.status, a.at.Sub(ended))
		}
	}
	if got := sent.Load(); got != executed {
		t.Errorf("%d requests reached the endpoint, %d were answered as such", got, executed)
	}
	if took := ended.Sub(stop); took > time.Second {
		t.Errorf("the process ended %v after SIGTERM, want at most the grace of 1 s", took)
	}
}

// Guards against streams that are taken later than 3 s after SIGTERM and cut at the exit: the
// refusal came with the next turn of a loop, whose wait a signal begins anew (LOST, review/9).
func TestLateStreamsInPlannedStop(t *testing.T) {
	s := newSite(t)
	var sent atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		w.Header().Set("Rosemaryarch-Attempt-Id", r.Header.Get("Rosemaryarch-Attempt-Id"))
		w.Header().Set("Rosemaryarch-Response-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: p\n\n")
	}))
	t.Cleanup(engine.Close)
	s.put(platform.EndpointKind, "i-1", map[string]any{
		"service": "s", "address": engine.Listener.Addr().String(), "zone": "a", "version": "v1", "maxBatch": 100,
		"phase": "ready", "warmupLeftMs": 0, "sequence": 2,
	})
	config := configSpec(2, "key-1", "/p/")
	config["routes"].([]map[string]any)[0]["type"] = "streaming"
	s.put(platform.ConfigKind, platform.ConfigName, config)
	const ip = "127.0.0.102"
	p := freePorts(t, 4)
	path := s.settings("edge-1", ip, p)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), "graceS = 1", "graceS = 4", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	var out output
	l, err := New(path, &out)
	if err != nil {
		t.Fatal(err)
	}
	signals := make(chan os.Signal, 2)
	var process sync.WaitGroup
	process.Go(func() {
		if err := l.serve(signals); err != nil {
			t.Error(err)
		}
	})
	eventually(t, 8*time.Second, "endpoint known", func() bool { return l.endpointsListed.Load() })
	signals <- syscall.SIGTERM
	stop := time.Now()
	time.AfterFunc(2950*time.Millisecond, func() { signals <- syscall.SIGHUP })
	url := fmt.Sprintf("http://%s:%d/p/x", ip, p[1])
	for _, tt := range []struct {
		after time.Duration
		want  int
	}{
		{100 * time.Millisecond, http.StatusOK},
		{3005 * time.Millisecond, http.StatusServiceUnavailable},
		{3060 * time.Millisecond, http.StatusServiceUnavailable},
		{3120 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		time.Sleep(time.Until(stop.Add(tt.after)))
		before := sent.Load()
		if got, _ := post(url, "key-1"); got != tt.want {
			t.Errorf("stream sent %v after SIGTERM: got %d, want %d", tt.after, got, tt.want)
		}
		if got, want := sent.Load()-before, int64(0); tt.want != http.StatusOK && got != want {
			t.Errorf("stream sent %v after SIGTERM: %d reached the endpoint, want %d", tt.after, got, want)
		}
	}
	process.Wait()
}
