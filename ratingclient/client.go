package ratingclient

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/exchanger"
)

// Errors of the calls. The first three are those of package exchanger.
var (
	ErrNotSent        = exchanger.ErrNotSent
	ErrOutcomeUnknown = exchanger.ErrOutcomeUnknown
	ErrRefused        = exchanger.ErrRefused
	// ErrInvalidScore means that the score is missing or outside 0 to 1.
	ErrInvalidScore = errors.New("ratingclient: score is missing or outside 0 to 1")
)

// Answer is an answer to be rated, with its request.
type Answer struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"` // key of the version that gave the answer
	Kind      string `json:"kind"`    // kind of request
	Prompt    string `json:"prompt"`
	Text      string `json:"text"`
}

// Client is a client of the rating service. Its call is a function field, so that
// a test can replace it.
type Client struct {
	// Rate returns the quality of the answer, 0 to 1.
	Rate func(ctx context.Context, a Answer) (float64, error)
}

// NewHTTP returns a client of the rating service at the URL base. Timeouts come
// from the context of each call.
func NewHTTP(base string, client *http.Client) Client {
	return Client{Rate: func(ctx context.Context, a Answer) (float64, error) {
		var response struct {
			Score *float64 `json:"score"`
		}
		err := exchanger.JSON(ctx, client, http.MethodPost, base+"/v1/rate", nil, a, &response)
		if err != nil {
			return 0, err
		}
		if response.Score == nil || !(*response.Score >= 0 && *response.Score <= 1) {
			return 0, ErrInvalidScore
		}
		return *response.Score, nil
	}}
}
