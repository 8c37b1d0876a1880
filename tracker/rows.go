package tracker

import (
	"slices"
	"strings"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/picker"
)

// Row is the present state of one endpoint, for operators.
type Row struct {
	Endpoint
	State    string
	Pools    []string // the plain service, or the models of the loaded versions
	InFlight int
	Restart  string
	LoadAge  clock.Millis // -1 if no report has come
}

// Rows returns all endpoints.
func (t *Tracker) Rows(now clock.Millis) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Row
	for i, r := range t.rows {
		row := Row{Endpoint: r.Endpoint, State: stateName(t.table.State[i]), Restart: r.restart, LoadAge: -1}
		row.InFlight, row.Pools = int(t.table.InFlight[i]), pools(r.versions)
		if r.loadAt > 0 {
			row.LoadAge = now - r.loadAt
		}
		all = append(all, row)
	}
	return all
}

// pools returns the models of versions, each once; a plain service is its own pool.
func pools(versions []string) []string {
	var found []string
	for _, v := range versions {
		model, _, _ := strings.Cut(v, "@")
		if !slices.Contains(found, model) {
			found = append(found, model)
		}
	}
	return found
}

// The states of an endpoint, as operators see them.
const (
	StateServing = "serving"
	StateCold    = "cold"    // takes work within permits only
	StateLeaving = "leaving" // the instance list says that it leaves
	StateOut     = "out"     // taken out, or in a data centre that is taken out
	StateBroken  = "broken"  // its circuit breaker is open
)

// States returns the names of all states.
func States() []string {
	return []string{StateServing, StateCold, StateLeaving, StateOut, StateBroken}
}

func stateName(s uint8) string {
	switch {
	case s&picker.StateOut != 0:
		return StateOut
	case s&picker.StateLeaving != 0:
		return StateLeaving
	case s&picker.StateOpen != 0:
		return StateBroken
	case s&picker.StateCold != 0:
		return StateCold
	default:
		return StateServing
	}
}

// Processes returns the processes of the model engines that may take work.
func (t *Tracker) Processes() []permitter.Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []permitter.Process
	for i := range t.rows {
		r := &t.rows[i]
		if r.Service == "" && r.restart != "" && !r.Out && !r.Leaving {
			all = append(all, permitter.Process{Endpoint: r.ID, Restart: r.restart})
		}
	}
	return all
}
