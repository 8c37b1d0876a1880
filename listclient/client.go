package listclient

import (
	"context"
	"net/http"

	"rosemaryarch.example/rosemaryarch/exchanger"
)

// Errors of the calls, which are those of package exchanger.
var (
	ErrNotSent        = exchanger.ErrNotSent
	ErrOutcomeUnknown = exchanger.ErrOutcomeUnknown
	ErrRefused        = exchanger.ErrRefused
)

// The kinds and states of a member, as on the wire.
const (
	KindInstance = "entry" // an instance of this program
	KindModel    = "model" // an endpoint that runs a model engine
	KindPlain    = "plain" // an endpoint of a plain service

	StateLive    = "live"
	StateLeaving = "leaving"
)

// Member is one instance or endpoint.
type Member struct {
	ID         string `json:"id"`
	Address    string `json:"address"` // host:port
	DataCentre string `json:"data_centre"`
	Kind       string `json:"kind"`
	Service    string `json:"service,omitempty"` // name of the service; KindPlain only
	State      string `json:"state"`
}

// Client is a client of the list. Its call is a function field, so that a test can
// replace it.
type Client struct {
	// List returns the members, ordered by id. The result may be stale.
	List func(ctx context.Context) ([]Member, error)
}

// NewHTTP returns a client of the list at the URL base. Timeouts come from the
// context of each call.
func NewHTTP(base string, client *http.Client) Client {
	return Client{List: func(ctx context.Context) ([]Member, error) {
		var members []Member
		err := exchanger.JSON(ctx, client, http.MethodGet, base+"/v1/members", nil, nil, &members)
		return members, err
	}}
}
