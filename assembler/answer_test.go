package assembler

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a failure of a plain service that broke off and is taken for the whole
// answer: an order would keep it for good, though the service may not have run it.
func TestServiceAnswerIsWhole(t *testing.T) {
	tests := map[string]string{
		"failure cut in its body":        "HTTP/1.1 409 X\r\nContent-Length: 40\r\n\r\n{\"conflict\": \"se",
		"refusal cut in its body":        "HTTP/1.1 429 X\r\nContent-Length: 40\r\n\r\n{\"run\":\"no\",\"reas",
		"failure cut in a chunk":         "HTTP/1.1 404 X\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nnone",
		"failure cut before its body":    "HTTP/1.1 422 X\r\nContent-Length: 40\r\n\r\n",
		"success cut in its body":        "HTTP/1.1 201 X\r\nContent-Length: 40\r\n\r\nbooked",
		"failure longer than 8 MiB, cut": "HTTP/1.1 404 X\r\n\r\n" + strings.Repeat("x", 8<<20+5),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = c.Read(make([]byte, 4096))
				_, _ = io.WriteString(c, text)
			}()
			i := &Instance{serviceClient: newServiceClient((&net.Dialer{}).DialContext)}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
				"http://"+listener.Addr().String()+"/bookings", nil)
			if err != nil {
				t.Fatal(err)
			}
			if reply, err := i.exchange(req); err == nil {
				t.Errorf("got status %d and %d bytes %.60q as a whole answer", reply.Status, len(reply.Body), reply.Body)
			}
		})
	}
}

// Guards against the answer to another request, the one that follows a redirect, as the
// answer of a call, and against a call that is sent twice.
func TestRedirectIsNotFollowed(t *testing.T) {
	for name, status := range map[string]int{"303": 303, "302": 302, "307": 307} {
		t.Run(name, func(t *testing.T) {
			seen := 0
			mux := http.NewServeMux()
			mux.HandleFunc("/bookings", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/other")
				w.WriteHeader(status)
			})
			mux.HandleFunc("/other", func(w http.ResponseWriter, r *http.Request) {
				seen++
				_, _ = io.WriteString(w, "answer to "+r.Method+" /other")
			})
			server := &http.Server{Handler: mux}
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			i := &Instance{serviceClient: newServiceClient((&net.Dialer{}).DialContext)}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
				"http://"+listener.Addr().String()+"/bookings", strings.NewReader(""))
			if err != nil {
				t.Fatal(err)
			}
			reply, err := i.exchange(req)
			if seen != 0 {
				t.Errorf("got %d %q %v of a second request, want none", reply.Status, reply.Body, err)
			}
		})
	}
}
