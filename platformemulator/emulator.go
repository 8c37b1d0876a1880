package platformemulator

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineemulator"
	"rosemaryarch.example/rosemaryarch/listclient"
	"rosemaryarch.example/rosemaryarch/ratingclient"
)

// Options configure the external systems. A zero value selects the default in
// brackets.
type Options struct {
	Now   func() clock.Millis                             // [system clock]
	Sleep func(ctx context.Context, d clock.Millis) error // [timer]

	Seed    uint64                              // seed of the scores
	Quality map[string]float64                  // mean score by version key [0.5]
	Score   func(a ratingclient.Answer) float64 // [engineemulator.Score with Seed and Quality]

	Weights          map[string]int64 // size in bytes of the stored weights by version key
	WeightsPerMinute int              // rate limit of fetches [unlimited]
	WeightsBurst     int              // burst size of the rate limit [1]

	ListDelay clock.Millis // age of the instance list [0]

	NoLookUp    bool // the plain service does not support look-ups
	Deduplicate bool // a call with a known key does not run and gets the response of the first run
}

// Faults are the failures that the emulator injects. The zero value injects none.
type Faults struct {
	RatingDown      bool         // the rating service refuses all requests
	RatingDelay     clock.Millis // delay of each rating
	WeightsDown     bool         // the weight store refuses all requests
	ListDown        bool         // the instance list refuses all requests
	ServiceDown     []string     // ids of the plain endpoints that cut every connection
	RefuseCalls     bool         // the plain service refuses all calls
	ServiceDelay    clock.Millis // delay of each call before its effect
	AnswerDelay     clock.Millis // delay of each response after the effect of the call
	CutBeforeEffect int          // number of upcoming calls whose connection is cut before their effect
	LoseResponses   int          // number of upcoming calls whose connection is cut after their effect
}

// snapshot is the instance list from an instant on.
type snapshot struct {
	at      clock.Millis
	members []listclient.Member
}

// Emulator emulates the external systems in memory. It is safe for concurrent use.
type Emulator struct {
	mu            sync.Mutex
	o             Options
	faults        Faults
	snapshots     []snapshot             // oldest first
	weightLimiter *rate.Limiter          // of the weight store
	fetched       map[string]int         // granted fetches by version key
	limited       int                    // fetches that the rate limit refused
	rated         int                    // rated answers
	records       map[string]*callRecord // by service name and key
	deliveries    []delivery
	lastID        int // number of runs
}

// New returns an emulator without faults and with an empty instance list.
func New(o Options) *Emulator {
	if o.Now == nil {
		o.Now = clock.System().Now
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	if o.Score == nil {
		o.Score = func(a ratingclient.Answer) float64 {
			mean, ok := o.Quality[a.Version]
			if !ok {
				mean = 0.5
			}
			return engineemulator.Score(o.Seed, mean, a.RequestID, a.Text)
		}
	}
	limit := rate.Inf
	if o.WeightsPerMinute > 0 {
		limit = rate.Every(time.Minute / time.Duration(o.WeightsPerMinute))
	}
	return &Emulator{
		o: o, snapshots: []snapshot{{at: o.Now()}}, weightLimiter: rate.NewLimiter(limit, max(1, o.WeightsBurst)),
		fetched: map[string]int{}, records: map[string]*callRecord{},
	}
}

func sleep(ctx context.Context, d clock.Millis) error {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetFaults replaces the injected failures.
func (e *Emulator) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the injected failures; CutBeforeEffect and LoseResponses are
// reduced by the number of calls that they have affected.
func (e *Emulator) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetMember adds m to the list or replaces the member with its id.
func (e *Emulator) SetMember(m listclient.Member) { e.updateMember(m.ID, &m) }

// RemoveMember removes the member with the given id from the list.
func (e *Emulator) RemoveMember(id string) { e.updateMember(id, nil) }

// updateMember appends a snapshot with m as the member with the id; nil removes it.
func (e *Emulator) updateMember(id string, m *listclient.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var members []listclient.Member
	for _, old := range e.snapshots[len(e.snapshots)-1].members {
		if old.ID != id {
			members = append(members, old)
		}
	}
	if m != nil {
		members = append(members, *m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	e.snapshots = append(e.snapshots, snapshot{e.o.Now(), members})
}

// members returns the list as it was Options.ListDelay ago.
func (e *Emulator) members() []listclient.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.snapshots) > 1 && e.snapshots[1].at+e.o.ListDelay <= e.o.Now() {
		e.snapshots = e.snapshots[1:]
	}
	return append([]listclient.Member{}, e.snapshots[0].members...)
}

// Rated returns the number of rated answers.
func (e *Emulator) Rated() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rated
}

// Fetched returns the number of granted fetches of a version's weights.
func (e *Emulator) Fetched(version string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fetched[version]
}

// Limited returns the number of fetches that the rate limit refused.
func (e *Emulator) Limited() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limited
}

// ServeHTTP serves the API that the package comment lists. Calls of the plain
// service count as delivered to the endpoint with the empty id.
func (e *Emulator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const weightsPath = "/v1/weights/"
	switch {
	case r.URL.Path == "/v1/rate":
		e.serveRate(w, r)
	case strings.HasPrefix(r.URL.Path, weightsPath):
		e.serveWeights(w, strings.TrimPrefix(r.URL.Path, weightsPath))
	case r.URL.Path == "/v1/members":
		e.serveMembers(w)
	default:
		e.serveService(w, r, "")
	}
}

// Service returns the handler of one endpoint of the plain service.
func (e *Emulator) Service(endpointID string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serveService(w, r, endpointID) })
}
