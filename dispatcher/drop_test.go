package dispatcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// onReuse returns a handler that serves the first request on each connection, and
// sends the given bytes before its response to each later one.
func onReuse(stray string) handler {
	var used sync.Map // connections that have served a request
	return func(c net.Conn, r *http.Request, _ string) bool {
		if _, again := used.LoadOrStore(c, true); again {
			_, _ = io.WriteString(c, stray)
		}
		return writeResponse(c, r, 200, "mine "+r.Header.Get("X-Id"))
	}
}

// Guards against responses that are dropped without a trace: a report of a wrong
// answer could not be told from one of an incomplete answer by logs and metrics.
func TestDroppedResponsesAreReported(t *testing.T) {
	tests := map[string]struct {
		handle     handler
		requests   int
		reason     refuser.DropReason
		connection string // of the send
	}{
		"other id": {
			onReuse("HTTP/1.1 200 OK\r\nX-Id: x\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nstray"), 2,
			refuser.DropOtherID, "reused",
		},
		"without an id": {func(c net.Conn, _ *http.Request, _ string) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nhi")
			return err == nil
		}, 1, refuser.DropWithoutID, "new"},
		"unsigned":      {unsigned, 1, refuser.DropUnsigned, "new"},
		"encoded":       {encoded, 1, refuser.DropEncoded, "new"},
		"truncated":     {truncateBody, 1, refuser.DropIncomplete, "new"},
		"false refusal": {busy, 1, refuser.DropFalseRefusal, "new"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Safe, func(r *matcher.Route) { r.Attempts = 1 }), tt.handle)
			var lines bytes.Buffer
			sendLog := logger.New(&lines, "test", time.Now)
			f.dispatcher.options.Logger = sendLog
			for i := range tt.requests {
				f.do("GET", "/a/x", "", names.ID, fmt.Sprint("id-", i))
			}
			sendLog.Close(clock.Second)
			var got struct{ Event, Connection, Dropped, Endpoint string }
			for line := range strings.Lines(lines.String()) {
				if strings.Contains(line, `"event":"send"`) {
					if err := json.Unmarshal([]byte(line), &got); err != nil {
						t.Fatal(err)
					}
				}
			}
			if got.Dropped != string(tt.reason) || got.Connection != tt.connection || got.Endpoint != "e0" {
				t.Errorf("send line: got %+v, want %s on a %s connection to e0", got, tt.reason, tt.connection)
			}
			w := httptest.NewRecorder()
			f.dispatcher.options.Meter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			want := fmt.Sprintf("rosemaryarch_dropped_responses_total{reason=%q} 1\n", tt.reason)
			if !strings.Contains(w.Body.String(), want) {
				t.Errorf("metrics do not hold %q", want)
			}
		})
	}
}
