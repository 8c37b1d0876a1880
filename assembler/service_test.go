package assembler

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a late second copy of the answer of a plain service, which carries
// no id: on a reused connection the next call, which may be that of another workspace,
// got it as its own answer, or as a refusal of a call that the service executes.
func TestLateCopyOfAServiceAnswer(t *testing.T) {
	tests := map[string]string{
		"answer":  "HTTP/1.1 201 Created\r\nContent-Length: 8\r\n\r\nanswer 1",
		"refusal": "HTTP/1.1 503 X\r\nContent-Length: 12\r\n\r\n{\"run\":\"no\"}",
	}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go serveWithCopies(listener, late)
			i := &Instance{serviceClient: newServiceClient((&net.Dialer{}).DialContext)}
			for n := range 4 {
				text := fmt.Sprint("call ", n)
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
					"http://"+listener.Addr().String()+"/bookings", strings.NewReader(text))
				if err != nil {
					t.Fatal(err)
				}
				reply, err := i.exchange(req)
				if want := "answer to " + text; err != nil || string(reply.Body) != want {
					t.Errorf("got %q %v, want %q", reply.Body, err, want)
				}
			}
		})
	}
}

// serveWithCopies answers each request with its body, and sends a copy of an earlier
// answer before each answer but the first on a connection.
func serveWithCopies(listener net.Listener, late string) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br, before := bufio.NewReader(c), ""
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(r.Body)
				_, _ = fmt.Fprintf(c, "%sHTTP/1.1 201 Created\r\nContent-Length: %d\r\n\r\nanswer to %s",
					before, len("answer to ")+len(body), body)
				before = late
			}
		}()
	}
}
