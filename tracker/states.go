package tracker

import (
	"slices"
	"strings"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/picker"
)

// EndpointState is the current state of one endpoint, as shown to operators.
type EndpointState struct {
	Endpoint
	State     string       // one of the State constants
	Pools     []string     // the plain service, or the models of the loaded versions
	InFlight  int          // requests that this instance has at the endpoint
	RestartID string       // identifies the process that runs at the endpoint; "" if it is not known
	LoadAge   clock.Millis // time since the last load report, -1 if there was none
}

// EndpointStates returns the current states of all endpoints.
func (t *Tracker) EndpointStates(now clock.Millis) []EndpointState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []EndpointState
	for i, r := range t.rows {
		state := EndpointState{Endpoint: r.Endpoint, State: stateName(t.table.State[i]), RestartID: r.restartID, LoadAge: -1}
		state.InFlight, state.Pools = int(t.table.InFlight[i]), modelNames(r.versions)
		if r.reportedAt > 0 {
			state.LoadAge = now - r.reportedAt
		}
		all = append(all, state)
	}
	return all
}

// modelNames returns the models of the given versions without duplicates. The name
// of a plain service is returned unchanged.
func modelNames(versions []string) []string {
	var found []string
	for _, v := range versions {
		model, _, _ := strings.Cut(v, "@")
		if !slices.Contains(found, model) {
			found = append(found, model)
		}
	}
	return found
}

// The states of an endpoint, as shown to operators. If several apply, the state is
// the first of out, leaving, broken and cold.
const (
	StateServing = "serving" // in service and warm
	StateCold    = "cold"    // receives requests only within permits
	StateLeaving = "leaving" // the instance list announces that it leaves
	StateOut     = "out"     // an operator took it or its data centre out of service
	StateBroken  = "broken"  // its circuit breaker is open
)

// States returns all states.
func States() []string {
	return []string{StateServing, StateCold, StateLeaving, StateOut, StateBroken}
}

// stateName returns the state for a set of picker flags.
func stateName(s uint8) string {
	switch {
	case s&picker.StateOut != 0:
		return StateOut
	case s&picker.StateLeaving != 0:
		return StateLeaving
	case s&picker.StateBreakerOpen != 0:
		return StateBroken
	case s&picker.StateCold != 0:
		return StateCold
	default:
		return StateServing
	}
}

// Processes returns the known processes of the model engines that may receive
// requests.
func (t *Tracker) Processes() []permitter.Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []permitter.Process
	for i := range t.rows {
		r := &t.rows[i]
		if r.Service == "" && r.restartID != "" && !r.Out && !r.Leaving {
			all = append(all, permitter.Process{Endpoint: r.ID, Restart: r.restartID})
		}
	}
	return all
}
