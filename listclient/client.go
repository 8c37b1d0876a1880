package listclient

import (
	"context"
	"net/http"

	"rosemaryarch.example/rosemaryarch/exchanger"
)

// Sentinels of every call.
var (
	ErrNotSent = exchanger.ErrNotSent
	ErrUnknown = exchanger.ErrUnknown
	ErrRefused = exchanger.ErrRefused
)

// The kinds and states of a member.
const (
	KindEntry = "entry" // an instance of this program
	KindModel = "model" // an endpoint that runs a model engine
	KindPlain = "plain" // an endpoint of a plain service

	StateLive    = "live"
	StateLeaving = "leaving"
)

// Member is one instance or endpoint.
type Member struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // host:port
	DataCentre string `json:"data_centre"`
	Kind       string `json:"kind"`
	Service    string `json:"service,omitempty"` // of a plain endpoint
	State      string `json:"state"`
}

// Client is the list's API as a function field, so that a test can replace it.
type Client struct {
	// List returns the members as of an earlier instant, ordered by id.
	List func(ctx context.Context) ([]Member, error)
}

// NewHTTP returns a client of the list at base. Timeouts come from each call's
// context.
func NewHTTP(base string, client *http.Client) Client {
	return Client{List: func(ctx context.Context) ([]Member, error) {
		var members []Member
		err := exchanger.JSON(ctx, client, http.MethodGet, base+"/v1/members", nil, nil, &members)
		return members, err
	}}
}
