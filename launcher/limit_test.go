package launcher

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/platform"
)

// limitedEndpoint is an endpoint that may state a rate limit.
type limitedEndpoint struct {
	mu       sync.Mutex
	limit    float64 // requests per second; 0: none
	arrivals []time.Time
}

func (e *limitedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	limit := e.limit
	e.mu.Unlock()
	n := platform.HeaderNames()
	w.Header().Set(n.ID, r.Header.Get(n.ID))
	w.Header().Set(n.Signature, "s")
	if limit > 0 {
		w.Header().Set(n.Limit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	_, _ = io.WriteString(w, "fine")
}

func (e *limitedEndpoint) setLimit(limit float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// counts returns the number of arrivals since an instant, and the largest one in
// any span of them.
func (e *limitedEndpoint) counts(since time.Time, span time.Duration) (total, most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, from := range e.arrivals {
		if from.Before(since) {
			continue
		}
		total++
		n := 0
		for _, at := range e.arrivals[i:] {
			if at.Sub(from) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return total, most
}

// Guards against instances that together exceed the rate limit that an endpoint
// states, each of them knowing only its own requests, and against a limit that
// outlasts its statement (soak rule LIMIT).
func TestRateLimitOfEndpoint(t *testing.T) {
	const (
		instances = 4
		limit     = 2.0 // requests per second
		span      = 4 * time.Second
		interval  = 50 * time.Millisecond // between two requests to one instance
	)
	s := newSite(t)
	limited := &limitedEndpoint{limit: limit}
	endpoint := httptest.NewServer(limited)
	t.Cleanup(endpoint.Close)
	s.put(platform.EndpointKind, "i-2", map[string]any{
		"service": "s", "address": endpoint.Listener.Addr().String(), "zone": "a", "version": "v1", "maxBatch": 4,
		"phase": "ready", "warmupLeftMs": 0, "sequence": 1,
	})
	p := freePorts(t, 4)
	var ended sync.WaitGroup
	stop := make(chan struct{})
	for i := range instances {
		ip := fmt.Sprintf("127.0.0.%d", 31+i)
		l, err := New(s.settings(fmt.Sprint("edge-", i), ip, p), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		signals := make(chan os.Signal, 1)
		ended.Go(func() {
			if err := l.serve(signals); err != nil {
				t.Errorf("instance %d: %v", i, err)
			}
		})
		url := fmt.Sprintf("http://%s:%d/p/x", ip, p[1])
		eventually(t, 8*time.Second, fmt.Sprint("service of instance ", i), func() bool {
			status, _ := post(url, "key-1")
			return status == 200
		})
		ended.Go(func() {
			for {
				select {
				case <-stop:
					signals <- syscall.SIGTERM
					return
				case <-time.After(interval):
					go post(url, "key-1")
				}
			}
		})
	}
	time.Sleep(time.Second) // all instances have heard of the limit
	bounded := time.Now()
	time.Sleep(span + 2*time.Second)
	limited.setLimit(0)
	total, most := limited.counts(bounded, span)
	if want := int(1.5*limit*span.Seconds()) + 5; most > want {
		t.Errorf("requests in %v: got %d, want at most %d", span, most, want)
	}
	if want := int(limit * span.Seconds() / 2); total < want {
		t.Errorf("requests under the limit: got %d, want at least %d", total, want)
	}
	lifted := time.Now()
	eventually(t, 4*time.Second, "full use of the endpoint after the end of its limit", func() bool {
		total, _ := limited.counts(lifted, span)
		return total > 40
	})
	close(stop)
	ended.Wait()
}
