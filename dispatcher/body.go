package dispatcher

import (
	"io"
	"net/http"
	"time"

	"rosemaryarch.example/rosemaryarch/refuser"
)

// readBody reads the request body of at most limit bytes until the deadline. A
// client may send one byte now and then without end.
func (x *exchange) readBody(limit int64) ([]byte, error) {
	if x.request.Body == http.NoBody {
		return nil, nil
	}
	connection := http.NewResponseController(x.writer)
	// Not every writer has a deadline; that of the server of net/http has.
	if err := connection.SetReadDeadline(time.Now().Add(x.remaining().Duration())); err == nil {
		defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	}
	return x.readHeldBody(http.MaxBytesReader(x.writer, x.request.Body, limit))
}

// holdBody reserves memory for that many bytes of the request body, instead of those reserved
// before. It returns false if the bound on all bodies does not allow more.
func (x *exchange) holdBody(bytes int) bool {
	if !x.dispatcher.options.Bodies.Resize(x.bodyHeld, bytes) {
		return false
	}
	x.bodyHeld = bytes
	return true
}

// readHeldBody reads the request body up to its end into memory that it reserves as the body
// arrives. The error is that of the reader, or refuser.ErrNoBodyMemory.
func (x *exchange) readHeldBody(r io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := 2*cap(body) + firstBodyBytes
			if declared := x.request.ContentLength; declared >= 0 && int64(len(body)) <= declared {
				size = min(size, int(declared)+1) // one more to meet the end
			}
			if !x.holdBody(size) {
				return nil, refuser.ErrNoBodyMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
