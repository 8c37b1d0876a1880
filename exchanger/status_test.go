package exchanger

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a status that HTTP does not define and that counts as a success, or as a
// refusal because of the body: the server cannot write 000 to its caller (other operators'
// report, MIXED).
func TestUndefinedStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 12\r\n\r\n{\"run\":\"no\"}")
				}
			}()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String(), nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := Send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, req)
			if err == nil {
				_ = resp.Body.Close()
			}
			if !errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrRefused) {
				t.Errorf("got %v, want ErrOutcomeUnknown", err)
			}
		})
	}
}
