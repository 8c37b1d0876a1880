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

// Options describe the outside systems. Zero values stand for the defaults in
// brackets.
type Options struct {
	Now   func() clock.Millis                             // [system clock]
	Sleep func(ctx context.Context, d clock.Millis) error // [timer]

	Seed    uint64                              // of the scores
	Quality map[string]float64                  // mean score by version key [0.5]
	Score   func(a ratingclient.Answer) float64 // [engineemulator.Score with Seed and Quality]

	Weights          map[string]int64 // stored bytes by version key
	WeightsPerMinute int              // fetches [unlimited]
	WeightsBurst     int              // fetches at once [1]

	ListLag clock.Millis // age of the list [0]

	NoLookUp bool // the plain service offers no look-up
	Dedupe   bool // a call with a known key answers as the first one did
}

// Faults are the failures that the emulator injects. The zero value injects none.
type Faults struct {
	RatingDown   bool         // ratings are refused
	RatingDelay  clock.Millis // before each rating
	WeightsDown  bool         // the weight store refuses
	ListDown     bool         // the list refuses
	ServiceDown  []string     // plain endpoints that cut every connection
	RefuseCalls  bool         // calls are refused and do not run
	ServiceDelay clock.Millis // before the effect of each call
	AnswerDelay  clock.Millis // after the effect of each call
	CutBefore    int          // the next calls are cut before their effect
	LoseAnswers  int          // the next calls take effect and are then cut
}

type snapshot struct {
	at      clock.Millis
	members []listclient.Member
}

// Emulator is the outside systems in memory. It is safe for concurrent use.
type Emulator struct {
	mu        sync.Mutex
	o         Options
	faults    Faults
	snapshots []snapshot
	weights   *rate.Limiter
	fetched   map[string]int
	limited   int
	rated     int
	ledger    map[string]*record // by service name and key
	calls     []call
	lastID    int
}

// New returns the outside systems.
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
		o: o, snapshots: []snapshot{{at: o.Now()}}, weights: rate.NewLimiter(limit, max(1, o.WeightsBurst)),
		fetched: map[string]int{}, ledger: map[string]*record{},
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

// Faults returns the injected failures that remain.
func (e *Emulator) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetMember adds m to the list or replaces the member with its id.
func (e *Emulator) SetMember(m listclient.Member) { e.change(m.ID, &m) }

// RemoveMember takes a member out of the list.
func (e *Emulator) RemoveMember(id string) { e.change(id, nil) }

func (e *Emulator) change(id string, m *listclient.Member) {
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

// members returns the list as it was ListLag ago.
func (e *Emulator) members() []listclient.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.snapshots) > 1 && e.snapshots[1].at+e.o.ListLag <= e.o.Now() {
		e.snapshots = e.snapshots[1:]
	}
	return append([]listclient.Member{}, e.snapshots[0].members...)
}

// Rated returns the number of answers rated.
func (e *Emulator) Rated() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rated
}

// Fetched returns the downloads of a version's weights.
func (e *Emulator) Fetched(version string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fetched[version]
}

// Limited returns the fetches that the rate limit refused.
func (e *Emulator) Limited() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limited
}

// ServeHTTP serves the API that the package comment lists; the plain service
// answers as the endpoint with the empty id.
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
