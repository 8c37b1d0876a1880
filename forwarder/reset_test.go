package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a request that is given up and whose bytes still reach the endpoint later,
// when a partition of the network ends: the connection was closed in order, so that the kernel
// went on to send them (EVAC, second review). An exchange that is complete ends in order.
func TestGivenUpExchangeIsReset(t *testing.T) {
	tests := map[string]struct {
		answer bool
		reset  bool
	}{
		"given up": {false, true},
		"complete": {true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			address, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					ended <- err
					return
				}
				if tt.answer {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
				}
				_, err = io.Copy(io.Discard, io.MultiReader(r.Body, br))
				ended <- err
			})
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			response, err := newForwarder().Send(ctx, newCall(address, "1"))
			if got := err == nil; got != tt.answer {
				t.Fatalf("got a response %v (%v), want %v", got, err, tt.answer)
			}
			if response != nil {
				if _, err := io.ReadAll(response); err != nil {
					t.Error(err)
				}
				response.Release()
			}
			select {
			case err := <-ended:
				if got := errors.Is(err, syscall.ECONNRESET); got != tt.reset {
					t.Errorf("the endpoint sees %v, want a reset: %v", err, tt.reset)
				}
			case <-time.After(3 * time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}
