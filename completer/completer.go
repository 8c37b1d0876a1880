package completer

import (
	"context"
	"net/http"

	kithttp "github.com/go-kit/kit/transport/http"
)

// Writer is an http.ResponseWriter that records whether the handler has completed
// the response.
type Writer struct {
	http.ResponseWriter
	complete bool
	failed   bool // a write has failed
}

// Write implements io.Writer.
func (w *Writer) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	if err != nil {
		w.failed = true
	}
	return n, err
}

// Flush implements http.Flusher.
func (w *Writer) Flush() { _ = w.FlushError() }

// FlushError flushes buffered data and returns the error of the connection. It is
// used by http.ResponseController.
func (w *Writer) FlushError() error {
	err := http.NewResponseController(w.ResponseWriter).Flush()
	if err != nil {
		w.failed = true
	}
	return err
}

// Unwrap returns the underlying writer; see http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Complete records that the handler has written the whole response. It has no
// effect on writers other than those of Handler.
func Complete(w http.ResponseWriter) {
	if c, ok := w.(*Writer); ok {
		c.complete = true
	}
}

// EncodeJSON writes a complete response with the JSON form of response. It has the
// signature of go-kit's EncodeResponseFunc.
func EncodeJSON(ctx context.Context, w http.ResponseWriter, response any) error {
	err := kithttp.EncodeJSONResponse(ctx, w, response)
	if err == nil {
		Complete(w)
	}
	return err
}

// Handler returns a handler that ends the connection after next unless next has
// called Complete and all its writes have succeeded. The client then sees a
// response that breaks off, or none.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &Writer{ResponseWriter: w}
		defer func() {
			cause := recover()
			if cause == nil && c.complete && !c.failed {
				return
			}
			if !r.ProtoAtLeast(1, 1) {
				reset(w)
			}
			if cause == nil {
				cause = http.ErrAbortHandler
			}
			panic(cause)
		}()
		next.ServeHTTP(c, r)
	})
}

// reset resets the connection. The end of the connection is the regular end of a
// response without length in HTTP/1.0, so closing it is not enough.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // not a connection of HTTP/1, or hijacked already
	}
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0) // fails only if the connection has ended
	}
	_ = conn.Close()
}
