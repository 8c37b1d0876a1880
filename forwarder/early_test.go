package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadBytes is the size of a request body that does not fit into the socket buffers.
const uploadBytes = 8 << 20

// Guards against the part of an early response without a length that arrives before a reset
// while the upload is being written: the write meets the reset first, so that the read sees
// a regular end (other operators' report, MIXED). An end without a reset stays one.
func TestEndDuringUpload(t *testing.T) {
	const head, part = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "a part of the body"
	reset := func(c *net.TCPConn, _ io.Reader) {
		time.Sleep(5 * time.Millisecond) // what was sent must arrive before the reset discards it
		_ = c.SetLinger(0)
	}
	tests := map[string]struct {
		response string
		end      func(c *net.TCPConn, rest io.Reader)
		complete bool
	}{
		"reset": {head + "\r\n" + part, reset, false},
		"reset, chunked": {
			head + "Transfer-Encoding: chunked\r\n\r\n12\r\n" + part + "\r\n", reset, false,
		},
		"reset, too short": {head + "Content-Length: 19\r\n\r\n" + part, reset, false},
		"end, rest unread": {head + "\r\n" + part, func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		}, true},
		"end, rest read": {head + "\r\n" + part, func(c *net.TCPConn, rest io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		}, true},
		"end after the upload": {head + "\r\n" + part, func(_ *net.TCPConn, rest io.Reader) {
			_, _ = io.CopyN(io.Discard, rest, uploadBytes)
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(c, tt.response)
				tt.end(c.(*net.TCPConn), br)
			})
			f := newForwarder()
			for range 20 {
				call := newCall(address, "1")
				call.Request.Method, call.Request.Body = "POST", bytes.Repeat([]byte("b"), uploadBytes)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				response, err := f.Send(ctx, call)
				if err == nil {
					var body []byte
					body, err = io.ReadAll(response)
					if err == nil && string(body) != part {
						t.Errorf("got body %q, want %q", body, part)
					}
					response.Close()
				}
				cancel()
				if got := err == nil; got != tt.complete {
					t.Fatalf("got complete %v (%v), want %v", got, err, tt.complete)
				}
			}
		})
	}
}
