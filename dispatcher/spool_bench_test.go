package dispatcher

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// noSocket is a writer that takes no time, so that only the work around it is measured.
type noSocket struct{ http.ResponseWriter }

func (noSocket) Write(b []byte) (int, error) { return len(b), nil }
func (noSocket) FlushError() error           { return nil }

// BenchmarkForwardEvent measures the write of one event to a client that reads: directly,
// and with the watch for a client that does not.
func BenchmarkForwardEvent(b *testing.B) {
	event := []byte("id: 1\ndata: " + strings.Repeat("x", 200) + "\n\n")
	for _, name := range []string{"direct", "relay", "no socket, direct", "no socket, relay"} {
		b.Run(name, func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if strings.HasPrefix(name, "no socket") {
					w = noSocket{w}
				}
				x := &exchange{writer: w}
				// On a busy machine a write may take long enough for the timer to run.
				r := &relay{send: &send{exchange: x}, timer: time.AfterFunc(time.Hour, func() {})}
				b.ReportAllocs()
				for b.Loop() {
					if strings.HasSuffix(name, "direct") {
						x.writeEvent(event)
					} else if _, err := r.write(event); err != nil {
						b.Error(err)
					}
				}
			}))
			defer server.Close()
			resp, err := http.Get(server.URL)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		})
	}
}
