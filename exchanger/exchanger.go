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
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// Sentinels of a failed exchange.
var (
	// ErrNotSent tells that no byte of the request left this process.
	ErrNotSent = errors.New("exchanger: request was not sent")
	// ErrUnknown tells that the request may have run.
	ErrUnknown = errors.New("exchanger: outcome of the request is unknown")
	// ErrRefused tells that the other side refused and did not run the request.
	ErrRefused = errors.New("exchanger: request was refused and not run")
)

// maxAnswerBytes bounds a JSON answer and an error body.
const maxAnswerBytes = 8 << 20

// StatusError is an answer with an error status. It matches ErrRefused if the
// other side states that nothing ran, and ErrUnknown otherwise.
type StatusError struct {
	Status     int          `json:"-"`
	Reason     string       `json:"reason"`
	Run        refuser.Run  `json:"run"`
	RetryAfter clock.Millis `json:"-"` // 0 if the answer gives none

	ContentType string `json:"-"` // of the body
	Body        []byte `json:"-"` // the answer as received
}

// Error returns the status, the reason and the run state.
func (e *StatusError) Error() string {
	return fmt.Sprintf("exchanger: status %d, reason %q (run: %s)", e.Status, e.Reason, e.Run)
}

// Is reports whether target is the sentinel that fits the run state.
func (e *StatusError) Is(target error) bool {
	if e.Run == refuser.RunNo {
		return target == ErrRefused
	}
	return target == ErrUnknown
}

// Send does the exchange and returns an answer whose status is below 400. The
// caller closes its body. The transport never repeats a request that it may
// have written: net/http repeats requests with an Idempotency-Key header when
// their body can be read again, so the body is made readable once only.
func Send(client *http.Client, req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.GetBody = nil
	resp, err := client.Do(req)
	if err != nil {
		return nil, classify(err, connected.Load())
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp)
}

// classify marks err. A failed dial is the last step of an exchange, so a
// connection obtained before it carried nothing.
func classify(err error, connected bool) error {
	var op *net.OpError
	if !connected || errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, ErrNotSent)
	}
	return errors.Mark(err, ErrUnknown)
}

func statusError(resp *http.Response) error {
	e := &StatusError{}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil || json.Unmarshal(body, e) != nil {
		e = &StatusError{}
	}
	if e.Run == "" {
		e.Run = refuser.RunUnknown
	}
	e.Status, e.Body, e.ContentType = resp.StatusCode, body, resp.Header.Get("Content-Type")
	if s, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31); err == nil {
		e.RetryAfter = clock.Millis(s) * clock.Second
	}
	return e
}

// JSON sends in as JSON and reads the answer into out. Nil stands for no body.
// An answer that cannot be read is ErrUnknown.
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "exchanger: read answer"), ErrUnknown)
	}
	if out == nil {
		return nil
	}
	return errors.Mark(errors.Wrap(json.Unmarshal(answer, out), "exchanger: decode answer"), ErrUnknown)
}

// Refuse writes an error answer in the form that StatusError reads. The
// stand-ins of the outside systems use it.
func Refuse(w http.ResponseWriter, e StatusError) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + clock.Second - 1) / clock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e)
}
