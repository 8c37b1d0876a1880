package weightclient

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/exchanger"
)

// Sentinels of every call.
var (
	ErrNotSent = exchanger.ErrNotSent
	ErrUnknown = exchanger.ErrUnknown
	ErrRefused = exchanger.ErrRefused
	// ErrLimited tells that the store's rate is used up; RetryAfter tells for
	// how long.
	ErrLimited = errors.New("weightclient: rate limit reached")
	// ErrNotFound tells that the store has no such version.
	ErrNotFound = errors.New("weightclient: version not found")
)

// Weights describes the stored weights of a version.
type Weights struct {
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
	Digest  string `json:"digest"`
}

// Client is the store's API as a function field, so that a test can replace it.
type Client struct {
	// Fetch reserves one download of the version's weights and describes them.
	Fetch func(ctx context.Context, version string) (Weights, error)
}

// NewHTTP returns a client of the weight store at base. Timeouts come from each
// call's context.
func NewHTTP(base string, client *http.Client) Client {
	return Client{Fetch: func(ctx context.Context, version string) (Weights, error) {
		var w Weights
		target := base + "/v1/weights/" + url.PathEscape(version)
		err := exchanger.JSON(ctx, client, http.MethodPost, target, nil, nil, &w)
		return w, typed(err)
	}}
}

func typed(err error) error {
	var s *exchanger.StatusError
	if !errors.As(err, &s) {
		return err
	}
	switch s.Status {
	case http.StatusTooManyRequests:
		return errors.Mark(err, ErrLimited)
	case http.StatusNotFound:
		return errors.Mark(err, ErrNotFound)
	default:
		return err
	}
}

// RetryAfter returns the wait that the store asks for in err, or 0.
func RetryAfter(err error) clock.Millis {
	var s *exchanger.StatusError
	if !errors.As(err, &s) {
		return 0
	}
	return s.RetryAfter
}
