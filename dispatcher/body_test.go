package dispatcher

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/reserver"
)

// Guards against a process that exceeds its memory because many requests in progress have
// bodies within the limits: it was killed, and with it all requests (LOST, review/6). Those
// beyond the bound are told that they were not executed, and short ones are served.
func TestBodiesWithinMemory(t *testing.T) {
	const (
		bodyBytes = 512 << 10
		requests  = 12
		limit     = 4 * (bodyBytes + 1)
	)
	for name, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			end := make(chan struct{})
			f := newFleet(t, route(matcher.Safe, nil), func(c net.Conn, r *http.Request, body string) bool {
				if len(body) == bodyBytes {
					<-end
				}
				return writeResponse(c, r, 200, "fine")
			})
			memory := reserver.New(limit, func() {})
			f.dispatcher.options.Bodies = memory
			var mu sync.Mutex
			counts := map[int]int{}
			var wait sync.WaitGroup
			for range requests {
				wait.Go(func() {
					var body io.Reader = bytes.NewReader(make([]byte, bodyBytes))
					if chunked {
						body = io.MultiReader(body) // hides the length
					}
					r, err := http.NewRequestWithContext(t.Context(), "POST", f.frontend.URL+"/a/x", body)
					if err != nil {
						t.Error(err)
						return
					}
					r.Host = "h.example"
					r.Header.Set(names.ID, "id-1")
					resp, err := http.DefaultTransport.RoundTrip(r)
					status := 0
					if err == nil {
						status = resp.StatusCode
						_ = resp.Body.Close()
					}
					mu.Lock()
					counts[status]++
					mu.Unlock()
				})
			}
			for until := time.Now().Add(5 * time.Second); memory.Used() == 0 && time.Now().Before(until); {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(300 * time.Millisecond) // for the other bodies
			if got := memory.Used(); got <= 0 || got > limit {
				t.Errorf("held for bodies: got %d bytes, want at most %d", got, limit)
			}
			if got := f.do("POST", "/a/x", strings.Repeat("b", 4<<10)); got.status != 200 {
				t.Errorf("short body meanwhile: got %d, %v, want 200", got.status, got.err)
			}
			close(end)
			wait.Wait()
			if counts[200] == 0 || counts[200] > 4 || counts[200]+counts[503]+counts[0] != requests {
				t.Errorf("statuses %v, want one to four 200 and else 503 or a connection that was closed", counts)
			}
			if got := memory.Used(); got != 0 {
				t.Errorf("held after the requests: got %d bytes, want none", got)
			}
		})
	}
}
