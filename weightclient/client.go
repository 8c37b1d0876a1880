package weightclient

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/exchanger"
)

// Errors of the calls. The first three are those of package exchanger.
var (
	ErrNotSent        = exchanger.ErrNotSent
	ErrOutcomeUnknown = exchanger.ErrOutcomeUnknown
	ErrRefused        = exchanger.ErrRefused
	// ErrLimited means that the store's rate limit is reached; RetryAfter returns
	// how long to wait.
	ErrLimited = errors.New("weightclient: rate limit reached")
	// ErrNotFound means that the store does not have the version.
	ErrNotFound = errors.New("weightclient: version not found")
)

// Weights describes the stored weights of a version.
type Weights struct {
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`  // total size
	Digest  string `json:"digest"` // content hash, as the store gives it
}

// Client is a client of the weight store. Its call is a function field, so that a
// test can replace it.
type Client struct {
	// ReserveDownload reserves one download of the version's weights and returns their
	// description. It does not transfer them.
	ReserveDownload func(ctx context.Context, version string) (Weights, error)
}

// NewHTTP returns a client of the weight store at the URL base. Timeouts come from
// the context of each call.
func NewHTTP(base string, client *http.Client) Client {
	return Client{ReserveDownload: func(ctx context.Context, version string) (Weights, error) {
		var w Weights
		target := base + "/v1/weights/" + url.PathEscape(version)
		err := exchanger.JSON(ctx, client, http.MethodPost, target, nil, nil, &w)
		return w, markStatus(err)
	}}
}

// markStatus marks err with the error that corresponds to its HTTP status.
func markStatus(err error) error {
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

// RetryAfter returns how long the store asks to wait before a retry, or 0 if err
// does not say.
func RetryAfter(err error) clock.Millis {
	var s *exchanger.StatusError
	if !errors.As(err, &s) {
		return 0
	}
	return s.RetryAfter
}
