package soaker

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"rosemaryarch.example/rosemaryarch/platform"
)

// spoiledShare is the share of the answers that an endpoint spoils during the fault.
const spoiledShare = 0.4

// endlessTime limits how long a spoiler sends bytes to a peer that does not close.
const endlessTime = 5 * time.Second

// spoiler writes something other than the whole answer to a connection, which is
// closed afterwards. head is the header of a success of the request, without the
// empty line at its end.
type spoiler func(c net.Conn, head string)

// spoilers are the ways in which an endpoint spoils answers.
var spoilers = []spoiler{
	func(c net.Conn, head string) { send(c, head+"Content-Length: 100\r\n\r\npart") },
	func(c net.Conn, head string) { send(c, head+"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n") },
	func(c net.Conn, head string) { send(c, head[:len(head)/2]) },
	func(c net.Conn, _ string) { send(c, "these bytes are no answer\r\n\r\n") },
	func(c net.Conn, head string) {
		unsigned := strings.Replace(head, platform.HeaderNames().Signature, "X-Filler", 1)
		send(c, unsigned+"Content-Length: 0\r\n\r\n")
	},
	func(c net.Conn, head string) { sendForever(c, head, "X-Filler: 0123456789abcdef0123456789abcdef\r\n") },
	func(c net.Conn, _ string) { sendForever(c, "", "HTTP/1.1 103 Early Hints\r\n\r\n") },
	func(c net.Conn, head string) { sendForever(c, head+"Content-Length: 99999999999\r\n\r\n", "endless ") },
	func(c net.Conn, head string) {
		sendForever(c, head+"Transfer-Encoding: chunked\r\n\r\n", "5\r\n: x\n\n\r\n")
	},
	func(c net.Conn, head string) {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a reset, after a body that only the end of the connection would complete
		}
		send(c, head+"\r\npart")
	},
}

// spoilAnswer answers a request with a spoiler and reports whether it could.
func spoilAnswer(w http.ResponseWriter, request string, s spoiler) bool {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(endlessTime))
	n := platform.HeaderNames()
	s(c, "HTTP/1.1 200 OK\r\n"+n.ID+": "+request+"\r\n"+n.Signature+": signed "+request+"\r\n")
	return true
}

// send writes bytes that the peer may not read.
func send(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// sendForever writes head and then part until the peer closes or the deadline of
// the connection has passed.
func sendForever(c net.Conn, head, part string) {
	_, err := io.WriteString(c, head)
	for block := strings.Repeat(part, 200); err == nil; {
		_, err = io.WriteString(c, block)
	}
}
