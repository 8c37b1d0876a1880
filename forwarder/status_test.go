package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a status that HTTP does not define: one below 100 was skipped as if it were
// informational, so that the caller waited on for a response that had arrived, and one above
// 599 was taken for a response (other operators' report, MIXED).
func TestStatusCodes(t *testing.T) {
	tests := map[string]struct {
		before string // an earlier response on the connection
		status string
		want   bool // it is a response
	}{
		"000":               {"", "000 X", false},
		"099":               {"", "099 X", false},
		"600":               {"", "600 X", false},
		"999":               {"", "999 X", false},
		"with a sign":       {"", "+20 X", false},
		"two digits":        {"", "20 X", false},
		"other protocol":    {"", "101 Switching Protocols", false},
		"000 after a hint":  {"HTTP/1.1 103 Early Hints\r\n\r\n", "000 X", false},
		"first final":       {"", "200 OK", true},
		"last":              {"", "599 X", true},
		"after a hint":      {"HTTP/1.1 103 Early Hints\r\n\r\n", "200 OK", true},
		"after 100":         {"HTTP/1.1 100 Continue\r\n\r\n", "404 Not Found", true},
		"without a reason":  {"", "204", true},
		"other information": {"HTTP/1.1 199 X\r\n\r\n", "200 OK", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(c, tt.before+"HTTP/1.1 "+tt.status+"\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
				_, _ = io.Copy(io.Discard, br) // until the other side closes the connection
			})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			response, err := newForwarder().Send(ctx, newCall(address, "1"))
			if err == nil {
				response.Close()
			}
			if got := err == nil; got != tt.want {
				t.Errorf("got a response %v (%v), want %v", got, err, tt.want)
			}
			if ctx.Err() != nil {
				t.Error("waited for the deadline, want a result at once")
			}
		})
	}
}
