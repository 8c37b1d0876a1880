package exchanger

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against the part of a response without a length that arrives before a reset while
// the upload is being written (other operators' report, MIXED).
func TestResetDuringUpload(t *testing.T) {
	const uploadBytes = 8 << 20 // does not fit into the socket buffers
	reset := func(c *net.TCPConn, _ io.Reader) {
		time.Sleep(5 * time.Millisecond) // what was sent must arrive before the reset discards it
		_ = c.SetLinger(0)
	}
	readAll := func(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }
	tests := map[string]struct {
		response string // after the status line
		end      func(c *net.TCPConn, body io.Reader)
		complete bool
	}{
		"reset":                 {"\r\npart", reset, false},
		"reset, too short":      {"Content-Length: 5\r\n\r\npart", reset, false},
		"end after the upload":  {"\r\npart", readAll, true},
		"length, after upload":  {"Content-Length: 4\r\n\r\npart", readAll, true},
		"chunked, after upload": {"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", readAll, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						r, err := http.ReadRequest(bufio.NewReader(c))
						if err != nil {
							return
						}
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+tt.response)
						tt.end(c.(*net.TCPConn), r.Body)
					}()
				}
			}()
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for range 20 {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String(),
					bytes.NewReader(make([]byte, uploadBytes)))
				if err != nil {
					t.Fatal(err)
				}
				resp, err := Send(client, req)
				if err == nil {
					_, err = ReadBody(resp.Body, 1<<10)
					_ = resp.Body.Close()
				}
				if got := err == nil; got != tt.complete {
					t.Fatalf("got complete %v (%v), want %v", got, err, tt.complete)
				}
			}
		})
	}
}
