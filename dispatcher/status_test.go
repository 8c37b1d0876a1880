package dispatcher

import (
	"io"
	"net"
	"net/http"
	"testing"

	"rosemaryarch.example/rosemaryarch/matcher"
)

// Guards against a response with a status that HTTP does not define: the client of an endpoint
// in trouble got 600 and 999 as its answer, and waited until its deadline for another one after
// 000 (other operators' report, MIXED).
func TestUndefinedStatus(t *testing.T) {
	tests := map[string]struct {
		route  matcher.Route
		status int // of a client whose second endpoint answers in full
	}{
		"unsafe":           {route(matcher.Unsafe, nil), 502},
		"safe":             {route(matcher.Safe, nil), 200},
		"stream":           {route(matcher.Stream, nil), 502},
		"resumable stream": {route(matcher.Stream, resumable), 200},
	}
	for name, tt := range tests {
		for _, status := range []string{"000", "600", "999"} {
			t.Run(name+", "+status, func(t *testing.T) {
				t.Parallel()
				bad := func(c net.Conn, r *http.Request, _ string) bool {
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nX-Id: "+r.Header.Get(names.ID)+
						"\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\noops")
					return true
				}
				good := succeed
				if tt.route.Kind == matcher.Stream {
					good = func(c net.Conn, r *http.Request, _ string) bool { return writeEvents(c, r, 1, 4, true) }
				}
				f := newFleet(t, tt.route, firstThen(bad, good)...)
				begin := f.confirmed()
				got := f.do("POST", "/a/x", "b")
				if got.status != tt.status || got.err != nil {
					t.Errorf("got %d %q, %v, want %d", got.status, got.body, got.err, tt.status)
				}
				if took := f.confirmed() - begin; took >= 1500 {
					t.Errorf("took %d ms of 3000 until the deadline, want a result at once", took)
				}
			})
		}
	}
}
