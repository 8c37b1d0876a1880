package administrator

import (
	"context"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Outcomes of a change.
const (
	OutcomeAccepted = "accepted"
	OutcomeUnknown  = "unknown"
	OutcomeNotFound = "not_found"
)

// Administrator holds the operators' calls as function fields. Errors of an
// instance are refuser.Refusal values.
type Administrator struct {
	// Apply replaces the configuration text if its revision still is
	// ApplyCall.FromRevision.
	Apply func(context.Context, ApplyCall) (Change, error)
	// Config returns the configuration currently used by the instance.
	Config func(context.Context, Empty) (Config, error)
	// Outcome returns the outcome of an earlier change.
	Outcome func(context.Context, OutcomeCall) (Change, error)
	// SetDataCentre takes a data centre out of service or back in.
	SetDataCentre func(context.Context, SetOutCall) (Change, error)
	// SetEndpoint takes an endpoint out of service or back in.
	SetEndpoint func(context.Context, SetOutCall) (Change, error)
	// RotateSessionKey adds a new key for session tokens and removes the oldest.
	RotateSessionKey func(context.Context, RotateCall) (Change, error)
	// Status returns the instance's view of the fleet.
	Status func(context.Context, Empty) (Status, error)
}

// Empty is the request body of calls without arguments.
type Empty struct{}

// ApplyCall holds a configuration text and the revision it was edited from.
type ApplyCall struct {
	Text         string `json:"text"`
	FromRevision uint64 `json:"from"`
	ChangeID     string `json:"change_id"`
}

// SetOutCall names a data centre or an endpoint to take out of service (Out) or
// back in.
type SetOutCall struct {
	Name     string `json:"name"`
	Out      bool   `json:"out"`
	ChangeID string `json:"change_id"`
}

// OutcomeCall holds the id of the change whose outcome is asked for.
type OutcomeCall struct {
	ChangeID string `json:"change_id"`
}

// RotateCall holds the id of the change that rotates the session key.
type RotateCall struct {
	ChangeID string `json:"change_id"`
}

// Change is the outcome of a change. Revision is the one that the change produced,
// if it was accepted.
type Change struct {
	ID       string `json:"id"`
	Outcome  string `json:"outcome"`
	Revision uint64 `json:"revision,omitempty"`
}

// Config is the configuration currently used by an instance.
type Config struct {
	Revision       uint64   `json:"revision"`
	Text           string   `json:"text"`
	DataCentresOut []string `json:"data_centres_out"`
	EndpointsOut   []string `json:"endpoints_out"`
}

// Status is one instance's view of the fleet.
type Status struct {
	Instance    string             `json:"instance"`
	Revision    uint64             `json:"revision"`
	Fresh       bool               `json:"fresh"`        // may dispatch new requests; see follower.Follower.Fresh
	FreshReason string             `json:"fresh_reason"` // rule that decided Fresh
	Instances   []InstanceStatus   `json:"instances"`
	DataCentres []DataCentreStatus `json:"data_centres"`
	Endpoints   []EndpointStatus   `json:"endpoints"`
	Versions    []VersionStatus    `json:"versions"`
}

// InstanceStatus describes one instance.
type InstanceStatus struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
}

// DataCentreStatus describes one data centre.
type DataCentreStatus struct {
	Name      string `json:"name"`
	Region    string `json:"region"`
	Out       bool   `json:"out"`
	Instances int    `json:"instances"`
	Endpoints int    `json:"endpoints"`
}

// EndpointStatus describes one endpoint.
type EndpointStatus struct {
	ID         string       `json:"id"`
	DataCentre string       `json:"data_centre"`
	Kind       string       `json:"kind"`
	State      string       `json:"state"` // serving, cold, leaving, out, broken
	InFlight   int          `json:"in_flight"`
	Limit      int          `json:"limit"`
	LoadAge    clock.Millis `json:"load_age_ms"`
}

// VersionStatus describes one version.
type VersionStatus struct {
	Key         string  `json:"key"`
	State       string  `json:"state"`        // from the configuration text
	Stopped     string  `json:"stopped"`      // reason why the roll-out was stopped, if it was
	Share       float64 `json:"share"`        // present share of new sessions, 0 to 1
	ShareReason string  `json:"share_reason"` // see package promoter
	Ratings     int     `json:"ratings"`
	Quality     float64 `json:"quality"` // mean rating, 0 to 1
	Errors      int     `json:"errors"`
}
