package exchanger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/statuschecker"
)

// Errors of a failed request. Exactly one of them matches each error of Send and
// JSON.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("exchanger: request was not sent")
	// ErrOutcomeUnknown means that the request may have been executed.
	ErrOutcomeUnknown = errors.New("exchanger: outcome of the request is unknown")
	// ErrRefused means that the other side refused the request and states that it
	// did not execute it.
	ErrRefused = errors.New("exchanger: request was refused and not executed")
)

// ErrBodyTooLarge means that a response body exceeds the limit of its reader. The
// other side may send bytes without end.
var ErrBodyTooLarge = errors.New("exchanger: response body is too large")

// ReadBody reads a body of at most limit bytes to its end. The error is
// ErrBodyTooLarge or that of the body.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, errors.Wrapf(ErrBodyTooLarge, "more than %d bytes", limit)
	}
	return data, err
}

// maxResponseBytes limits a JSON response and an error body.
const maxResponseBytes = 8 << 20

// StatusError is a response with an error status. It matches ErrRefused if the
// other side states that it did not execute the request, and ErrOutcomeUnknown
// otherwise.
type StatusError struct {
	Status     int               `json:"-"`
	Reason     string            `json:"reason"`
	Execution  refuser.Execution `json:"run"`
	RetryAfter clock.Millis      `json:"-"` // 0 if the response states none

	ContentType string `json:"-"` // of Body
	Body        []byte `json:"-"` // as received, at most maxResponseBytes
}

// Error returns the status, the reason and the execution state.
func (e *StatusError) Error() string {
	return fmt.Sprintf("exchanger: status %d, reason %q (run: %s)", e.Status, e.Reason, e.Execution)
}

// Is reports whether target is the error that corresponds to the execution state.
func (e *StatusError) Is(target error) bool {
	if e.Execution == refuser.NotExecuted {
		return target == ErrRefused
	}
	return target == ErrOutcomeUnknown
}

// Send sends req once and returns a response with a status below 400, whose body
// the caller must close. The transport never retries a request that it may have
// written: net/http would retry requests with an Idempotency-Key header if it can
// rewind their body, so Send clears req.GetBody.
//
// The end of a body without a length is an error unless the whole request was written, see
// uploadedBody.
func Send(client *http.Client, req *http.Request) (*http.Response, error) {
	var gotConn atomic.Bool
	var sent atomic.Pointer[upload]
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			gotConn.Store(true)
			sent.Store(&upload{ended: make(chan struct{})})
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) { sent.Load().end(i.Err) },
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.GetBody = nil
	resp, err := client.Do(req)
	if err != nil {
		return nil, classify(err, gotConn.Load())
	}
	if statuschecker.Classify(resp.StatusCode) != statuschecker.Final {
		_ = resp.Body.Close()
		return nil, errors.Mark(errors.Newf("exchanger: undefined status %03d", resp.StatusCode), ErrOutcomeUnknown)
	}
	if u := sent.Load(); u != nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = &uploadedBody{resp.Body, u}
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp)
}

// upload is the writing of a request to one connection.
type upload struct {
	once  sync.Once
	ended chan struct{} // closed when it has ended
	err   error         // valid then
}

func (u *upload) end(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.ended)
	})
}

// uploadedBody is the body of a response that the end of its connection delimits. The kernel
// reports a reset to one call only, so that a concurrent write of the request may take the
// error and leave a regular end to the read.
type uploadedBody struct {
	io.ReadCloser
	upload *upload
}

// Read returns an error instead of io.EOF if the request was not written completely. The
// transport closes the connection at the end of the body, which ends the write.
func (b *uploadedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	<-b.upload.ended
	if b.upload.err != nil {
		return n, errors.Wrap(b.upload.err, "exchanger: connection ended while the request was being written")
	}
	return n, io.EOF
}

// classify marks err as ErrNotSent or ErrOutcomeUnknown. If the last step was a
// failed dial, a connection that was obtained before it carried no bytes.
func classify(err error, gotConn bool) error {
	var op *net.OpError
	if !gotConn || errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, ErrNotSent)
	}
	return errors.Mark(err, ErrOutcomeUnknown)
}

// statusError reads the response into a StatusError. A body that is not JSON
// leaves the execution state unknown. If the body is not complete, the error is
// ErrOutcomeUnknown and no StatusError.
func statusError(resp *http.Response) error {
	e := &StatusError{}
	body, err := ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "exchanger: read response with status %d", resp.StatusCode), ErrOutcomeUnknown)
	}
	if json.Unmarshal(body, e) != nil {
		e = &StatusError{}
	}
	if e.Execution == "" {
		e.Execution = refuser.ExecutionUnknown
	}
	e.Status, e.Body, e.ContentType = resp.StatusCode, body, resp.Header.Get("Content-Type")
	if s, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31); err == nil {
		e.RetryAfter = clock.Millis(s) * clock.Second
	}
	return e
}

// JSON sends in as JSON and decodes the response into out; either may be nil. The
// error is that of Send, ErrNotSent if the request cannot be built, or
// ErrOutcomeUnknown if the response cannot be read or decoded.
func JSON(ctx context.Context, client *http.Client, method, url string, header http.Header, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Mark(errors.Wrap(err, "exchanger: encode request"), ErrNotSent)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "exchanger: build request"), ErrNotSent)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := Send(client, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "exchanger: read response"), ErrOutcomeUnknown)
	}
	if out == nil {
		return nil
	}
	return errors.Mark(errors.Wrap(json.Unmarshal(data, out), "exchanger: decode response"), ErrOutcomeUnknown)
}

// WriteRefusal writes an error response that Send decodes into a StatusError. It
// rounds RetryAfter up to whole seconds. It is for the emulators of external
// systems.
func WriteRefusal(w http.ResponseWriter, e StatusError) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + clock.Second - 1) / clock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e)
}
