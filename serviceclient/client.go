package serviceclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/exchanger"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// Errors of the calls. The first three are those of package exchanger.
var (
	ErrNotSent        = exchanger.ErrNotSent
	ErrOutcomeUnknown = exchanger.ErrOutcomeUnknown
	ErrRefused        = exchanger.ErrRefused

	// ErrNotFound means that the service has no record of a call with the key. A call
	// that is still in transit may be executed later.
	ErrNotFound = errors.New("serviceclient: no call with this key")
	// ErrRunning means that the service is executing the call.
	ErrRunning = errors.New("serviceclient: call is still running")
	// ErrNoLookUp means that the service does not support look-ups by key.
	ErrNoLookUp = errors.New("serviceclient: service does not support look-ups")
)

// maxResponseBytes limits a response body. A longer one is reported as
// ErrOutcomeUnknown.
const maxResponseBytes = 256 << 10

// Call is one request to a service.
type Call struct {
	Path        string // path on the service, such as "/bookings"
	Key         string // idempotency key
	ContentType string
	Body        []byte
}

// Response is the response to a call that the service executed: success, or an
// error that the caller caused, such as an invalid date.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client is a client of one service. Its calls are function fields, so that a test
// can replace one.
type Client struct {
	// Do sends the call once. Without an error the service executed it.
	Do func(ctx context.Context, c Call) (Response, error)
	// LookUp returns the response to an earlier call with the path and the key.
	// The error may be ErrNotFound, ErrRunning or ErrNoLookUp.
	LookUp func(ctx context.Context, path, key string) (Response, error)
}

// NewHTTP returns a client of the service at the URL base, such as
// "http://127.0.0.1:7201". Timeouts come from the context of each call. The client
// does not follow redirects, because that would send a call again; a redirect is
// reported as ErrOutcomeUnknown.
func NewHTTP(base string, client *http.Client) Client {
	noRedirects := *client
	noRedirects.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	h := &httpClient{base: base, client: &noRedirects}
	return Client{Do: h.do, LookUp: h.lookUp}
}

type httpClient struct {
	base   string
	client *http.Client
}

func (h *httpClient) do(ctx context.Context, c Call) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "serviceclient: build request"), ErrNotSent)
	}
	req.Header.Set("Content-Type", c.ContentType)
	req.Header.Set("Idempotency-Key", c.Key)
	response, err := h.send(req)
	var s *exchanger.StatusError
	if errors.As(err, &s) && executed(s) {
		return Response{s.Status, s.ContentType, s.Body}, nil
	}
	return response, err
}

// executed reports whether an error status shows that the call was executed. A
// server error, a timeout and a rate limit do not.
func executed(s *exchanger.StatusError) bool {
	switch {
	case s.Execution != refuser.ExecutionUnknown && s.Execution != refuser.Executed:
		return false
	case s.Status == http.StatusRequestTimeout, s.Status == http.StatusTooManyRequests:
		return false
	default:
		return s.Status < http.StatusInternalServerError
	}
}

// send sends a request and reads the response.
func (h *httpClient) send(req *http.Request) (Response, error) {
	resp, err := exchanger.Send(h.client, req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err == nil && resp.StatusCode >= http.StatusMultipleChoices:
		err = errors.Newf("serviceclient: unexpected redirect with status %d", resp.StatusCode)
	case err == nil && len(body) > maxResponseBytes:
		err = errors.Newf("serviceclient: response exceeds %d bytes", maxResponseBytes)
	}
	if err != nil {
		return Response{}, errors.Mark(err, ErrOutcomeUnknown)
	}
	return Response{resp.StatusCode, resp.Header.Get("Content-Type"), body}, nil
}

func (h *httpClient) lookUp(ctx context.Context, path, key string) (Response, error) {
	target := h.base + path + "/" + url.PathEscape(key)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Response{}, errors.Mark(errors.Wrap(err, "serviceclient: build look-up"), ErrNotSent)
	}
	response, err := h.send(req)
	if err == nil && response.Status == http.StatusAccepted {
		return Response{}, ErrRunning
	}
	var s *exchanger.StatusError
	if !errors.As(err, &s) {
		return response, err
	}
	switch s.Status {
	case http.StatusNotFound:
		return Response{}, errors.Mark(err, ErrNotFound)
	case http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return Response{}, errors.Mark(err, ErrNoLookUp)
	default:
		return Response{}, err
	}
}
