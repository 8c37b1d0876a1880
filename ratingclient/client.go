package ratingclient

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/exchanger"
)

// Sentinels of every call.
var (
	ErrNotSent = exchanger.ErrNotSent
	ErrUnknown = exchanger.ErrUnknown
	ErrRefused = exchanger.ErrRefused
	// ErrInvalidScore tells that the service answered outside 0 to 1.
	ErrInvalidScore = errors.New("ratingclient: score is outside 0 to 1")
)

// Answer is what the service rates.
type Answer struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"` // version key
	Kind      string `json:"kind"`    // kind of request
	Prompt    string `json:"prompt"`
	Text      string `json:"text"`
}

// Client is the service's API as a function field, so that a test can replace it.
type Client struct {
	// Rate returns the quality of the answer, from 0 to 1.
	Rate func(ctx context.Context, a Answer) (float64, error)
}

// NewHTTP returns a client of the rating service at base. Timeouts come from
// each call's context.
func NewHTTP(base string, client *http.Client) Client {
	return Client{Rate: func(ctx context.Context, a Answer) (float64, error) {
		var reply struct {
			Score *float64 `json:"score"`
		}
		err := exchanger.JSON(ctx, client, http.MethodPost, base+"/v1/rate", nil, a, &reply)
		if err != nil {
			return 0, err
		}
		if reply.Score == nil || !(*reply.Score >= 0 && *reply.Score <= 1) {
			return 0, ErrInvalidScore
		}
		return *reply.Score, nil
	}}
}
