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

// Sentinels of every call.
var (
	ErrNotSent = exchanger.ErrNotSent
	ErrUnknown = exchanger.ErrUnknown
	ErrRefused = exchanger.ErrRefused

	// ErrNotFound tells that the service knows no call with the key. A call that
	// is still on its way may run later.
	ErrNotFound = errors.New("serviceclient: no call with this key")
	// ErrRunning tells that the service is executing the call.
	ErrRunning = errors.New("serviceclient: call is still running")
	// ErrNoLookUp tells that the service offers no look-up by key.
	ErrNoLookUp = errors.New("serviceclient: service offers no look-up")
)

// maxAnswerBytes bounds an answer. A longer one is ErrUnknown.
const maxAnswerBytes = 256 << 10

// Call is one request to a service.
type Call struct {
	Path        string // such as "/bookings"
	Key         string // idempotency key
	ContentType string
	Body        []byte
}

// Answer is the service's definite outcome of a call: success, or an error of
// the caller's making, such as an invalid date.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client is the service's API as function fields, so that a test can replace
// one call.
type Client struct {
	// Do sends the call once. An answer means that the service executed it.
	Do func(ctx context.Context, c Call) (Answer, error)
	// LookUp returns the outcome of an earlier call under path with the key, or
	// ErrNotFound, ErrRunning or ErrNoLookUp.
	LookUp func(ctx context.Context, path, key string) (Answer, error)
}

// NewHTTP returns a client of the service at base, such as
// "http://127.0.0.1:7201". Timeouts come from each call's context. It uses a
// copy of client that follows no redirects, because that sends a call again; a
// redirect is ErrUnknown.
func NewHTTP(base string, client *http.Client) Client {
	once := *client
	once.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	h := &httpClient{base: base, client: &once}
	return Client{Do: h.do, LookUp: h.lookUp}
}

type httpClient struct {
	base   string
	client *http.Client
}

func (h *httpClient) do(ctx context.Context, c Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return Answer{}, errors.Mark(errors.Wrap(err, "serviceclient: build request"), ErrNotSent)
	}
	req.Header.Set("Content-Type", c.ContentType)
	req.Header.Set("Idempotency-Key", c.Key)
	a, err := h.send(req)
	var s *exchanger.StatusError
	if errors.As(err, &s) && definite(s) {
		return Answer{s.Status, s.ContentType, s.Body}, nil
	}
	return a, err
}

// definite reports whether an error status is the outcome of an executed call.
// A server error, a timeout and a rate limit say nothing about that.
func definite(s *exchanger.StatusError) bool {
	switch {
	case s.Run != refuser.RunUnknown && s.Run != refuser.RunYes:
		return false
	case s.Status == http.StatusRequestTimeout, s.Status == http.StatusTooManyRequests:
		return false
	default:
		return s.Status < http.StatusInternalServerError
	}
}

func (h *httpClient) send(req *http.Request) (Answer, error) {
	resp, err := exchanger.Send(h.client, req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err == nil && resp.StatusCode >= http.StatusMultipleChoices:
		err = errors.Newf("serviceclient: redirect with status %d", resp.StatusCode)
	case err == nil && len(body) > maxAnswerBytes:
		err = errors.Newf("serviceclient: answer exceeds %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return Answer{}, errors.Mark(err, ErrUnknown)
	}
	return Answer{resp.StatusCode, resp.Header.Get("Content-Type"), body}, nil
}

func (h *httpClient) lookUp(ctx context.Context, path, key string) (Answer, error) {
	target := h.base + path + "/" + url.PathEscape(key)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Answer{}, errors.Mark(errors.Wrap(err, "serviceclient: build look-up"), ErrNotSent)
	}
	a, err := h.send(req)
	if err == nil && a.Status == http.StatusAccepted {
		return Answer{}, ErrRunning
	}
	var s *exchanger.StatusError
	if !errors.As(err, &s) {
		return a, err
	}
	switch s.Status {
	case http.StatusNotFound:
		return Answer{}, errors.Mark(err, ErrNotFound)
	case http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return Answer{}, errors.Mark(err, ErrNoLookUp)
	default:
		return Answer{}, err
	}
}
