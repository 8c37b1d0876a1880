package demonstrator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/assembler"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineemulator"
	"rosemaryarch.example/rosemaryarch/hoster"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/promoter"
	"rosemaryarch.example/rosemaryarch/server"
)

// ErrPropertyViolated is returned if a checked property of the fleet did not hold.
var ErrPropertyViolated = errors.New("demonstrator: a property did not hold")

// Demonstrator is a demonstration of a fleet in one process. It is used for one
// call of Run.
type Demonstrator struct {
	ConfigText     string    // configuration text
	Output         io.Writer // receives the progress and the report
	Seed           uint64
	Instances      int
	ModelEngines   int     // number of model engines
	PlainEndpoints int     // number of endpoints of the plain service
	RequestRate    float64 // model requests per second
	TimeScale      float64 // factor on the length of the phases; 1 takes about 50 s

	fleet            *parser.Fleet
	hoster           *hoster.Hoster
	instances        []*assembler.Instance
	caller           *caller
	collector        *collector
	revision         uint64       // of the last change
	goodModel        parser.Model // gets goodVersion
	badModel         parser.Model // gets badVersion
	started          clock.Millis
	badVersionSince  time.Time
	badVersionUntil  time.Time
	propagationTimes []time.Duration // time until each change was in force everywhere
	inFlight         sync.WaitGroup  // requests and delayed checks
	lastRequest      atomic.Uint64   // number in the id of the last request
	watcher          *watcher
}

var ratingPercent = regexp.MustCompile(`rating_percent: [0-9.]+`)

// answerTokens is the mean length of the engine emulators' answers, in tokens.
const answerTokens = 32

// Names of the versions that are rolled out.
const (
	goodVersion = "v2"
	badVersion  = "v3"
)

// Run runs the demonstration. It returns ErrPropertyViolated if a property did not hold.
func (d *Demonstrator) Run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "rosemaryarch-demo-")
	if err != nil {
		return errors.Wrap(err, "demonstrator: create directory for keys")
	}
	defer func() { _ = os.RemoveAll(dir) }() // the keys are of no use after this run
	if err := d.prepare(dir); err != nil {
		return err
	}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go d.generateLoad(loadCtx)
	for _, phase := range d.phases() {
		if err := d.runPhase(ctx, phase); err != nil {
			return err
		}
	}
	stopLoad()
	d.printf("waiting for the last requests")
	d.inFlight.Wait()
	d.watcher.stop()
	return d.report(ctx)
}

// printf prints a line of progress, with the time since the start.
func (d *Demonstrator) printf(format string, args ...any) {
	fmt.Fprintf(d.Output, "%5.1fs  %s\n", float64(clock.System().Now()-d.started)/float64(clock.Second),
		fmt.Sprintf(format, args...))
}

// prepare parses the configuration and starts the emulators.
func (d *Demonstrator) prepare(dir string) error {
	var err error
	// All answers are rated, so that a few seconds give as many ratings as a day
	// gives elsewhere.
	d.ConfigText = ratingPercent.ReplaceAllString(d.ConfigText, "rating_percent: 100")
	if d.fleet, err = parser.Parse("configuration", []byte(d.ConfigText)); err != nil {
		return err
	}
	if len(d.fleet.Models) < 2 {
		return errors.New("demonstrator: the configuration has fewer than two models")
	}
	d.started = clock.System().Now()
	last := len(d.fleet.Models) - 1
	d.badModel, d.goodModel = d.fleet.Models[last], d.fleet.Models[last-1]
	d.hoster, err = hoster.New(hoster.Options{
		Fleet: d.fleet, ModelEngines: d.ModelEngines, PlainEndpoints: d.PlainEndpoints, Instances: d.Instances, Dir: dir,
		ExtraVersions: map[string]float64{
			d.goodModel.Name + "@" + goodVersion: d.goodModel.PriorQuality + 0.02,
			d.badModel.Name + "@" + badVersion:   0.2,
		},
		EngineOptions: engineemulator.Options{
			Seed: d.Seed, AnswerTokens: answerTokens, CacheEventDelay: 300, LoadDelay: 200, Warm: true,
		},
		ListDelay: 500,
	})
	if err != nil {
		return err
	}
	for _, e := range d.hoster.Engines {
		e.SetFaults(engineemulator.Faults{BadVersion: d.badModel.Name + "@" + badVersion})
	}
	d.collector = newCollector(d.fleet)
	d.collector.answerTokens = func(version, prompt string) int {
		return engineemulator.Length(version, prompt, answerTokens)
	}
	d.collector.score = d.score
	return nil
}

// score returns the rating that the rating service gives an answer.
func (d *Demonstrator) score(id, version, text string) float64 {
	return engineemulator.Score(d.Seed, d.meanQuality(version), id, text)
}

// meanQuality returns the mean rating of a version's answers. For the bad version,
// engineemulator.BadTokenPrefix in its answers lowers their score further.
func (d *Demonstrator) meanQuality(version string) float64 {
	model, name, _ := strings.Cut(version, "@")
	for _, m := range d.fleet.Models {
		if m.Name == model {
			if name == goodVersion {
				return m.PriorQuality + 0.02
			}
			return m.PriorQuality
		}
	}
	return 0
}

// demoPromoter returns a promoter that takes each step after seconds instead of
// hours.
func demoPromoter(instance string) promoter.Promoter {
	p := promoter.Default(instance)
	p.Steps = []float64{0.1, 0.3, 1}
	p.QualityMargins = []float64{0.20, 0.10}
	p.ErrorMargins = []float64{0.20, 0.10}
	p.Dwell = 2 * clock.Second
	return p
}

// start starts the instances, applies the configuration, and waits until all
// instances are ready.
func (d *Demonstrator) start(ctx context.Context) error {
	known, err := d.writeHistory(ctx)
	if err != nil {
		return err
	}
	d.printf("the object API holds the counts of %d rated answers of an earlier day", known)
	var addresses []string
	for k := range d.hoster.Settings() {
		i, err := d.newInstance(k)
		if err != nil {
			return err
		}
		d.instances = append(d.instances, i)
		addresses = append(addresses, d.hoster.Settings()[k].Listen)
	}
	d.caller = newCaller(addresses, d.Seed)
	d.printf("%d instances in %d data centres, %d model engines, %d endpoints of the plain service",
		d.Instances, len(d.fleet.DataCentres), len(d.hoster.Engines), len(d.hoster.PlainEndpoints))
	d.watcher = newWatcher(d)
	if err := d.apply(ctx, d.ConfigText); err != nil {
		return err
	}
	return d.waitUntil(ctx, "readiness of all instances", func() bool {
		for k := range d.instances {
			if !d.isReady(ctx, k) {
				return false
			}
		}
		return true
	})
}

// newInstance starts the instance with index k.
func (d *Demonstrator) newInstance(k int) (*assembler.Instance, error) {
	s, err := d.hoster.Settings()[k].Validated()
	if err != nil {
		return nil, err
	}
	i, err := assembler.New(s, assembler.Options{Promoter: demoPromoter})
	if err != nil {
		return nil, err
	}
	return i, i.Start()
}

// isReady reports whether the instance has a current configuration and lists all
// instances.
func (d *Demonstrator) isReady(ctx context.Context, k int) bool {
	status, err := d.admin(k).Status(ctx, administrator.Empty{})
	return err == nil && status.Fresh && status.Revision > 0 && len(d.entries(ctx, k)) == d.Instances
}

// entries returns the instances that an instance lists for callers.
func (d *Demonstrator) entries(ctx context.Context, k int) []server.Entry {
	var e server.Entries
	if d.caller.get(ctx, "http://"+d.hoster.Settings()[k].Listen+"/v1/entries", &e) != nil {
		return nil
	}
	return e.Entries
}

// admin returns a client of the administration API of an instance.
func (d *Demonstrator) admin(k int) administrator.Administrator {
	a, err := administrator.NewHTTP("http://"+d.hoster.Settings()[k].Listen, hoster.OperatorKey, d.caller.client)
	if err != nil {
		panic(err) // cannot happen: the address comes from a listener
	}
	return a
}

// waitTimeout bounds each wait for a state of the fleet.
const waitTimeout = 15 * time.Second

// waitUntil polls a condition until it holds. what describes the condition in the
// error that is returned after waitTimeout.
func (d *Demonstrator) waitUntil(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !condition() {
		if ctx.Err() != nil {
			return errors.Newf("demonstrator: %s not reached within %v", what, waitTimeout)
		}
		sleep(ctx, 20*time.Millisecond)
	}
	return nil
}

func (d *Demonstrator) close() {
	for _, i := range d.instances {
		if i != nil {
			i.Kill()
		}
	}
	d.hoster.Close()
}

// generateLoad sends requests until ctx ends: model requests of sessions of each
// workspace in proportion to its share, and bookings, some of them delivered twice.
func (d *Demonstrator) generateLoad(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.Seed, 2))
	ticker := time.NewTicker(time.Duration(rampRateDivisor * float64(time.Second) / d.RequestRate))
	defer ticker.Stop()
	sessions := newSessions(d.fleet, random)
	rampEnd := time.After(time.Duration(rampSeconds * d.TimeScale * float64(time.Second)))
	for n := 0; ; n++ {
		select {
		case <-rampEnd:
			ticker.Reset(time.Duration(float64(time.Second) / d.RequestRate))
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s, ok := sessions.next()
		if ok {
			d.inFlight.Add(1)
			go d.sendChat(s, d.lastRequest.Add(1))
		}
		if n%requestsPerBooking == 0 {
			d.inFlight.Add(1)
			go d.sendBooking(d.lastRequest.Add(1), random.IntN(3) == 0)
		}
	}
}

const (
	// requestsPerBooking is the number of model requests for each booking.
	requestsPerBooking = 10
	// No endpoint is known to be warm when the instances start. The load therefore
	// starts at its rate divided by rampRateDivisor, for rampSeconds (scaled).
	rampRateDivisor = 5
	rampSeconds     = 4
)

// sendChat sends a model request of a session and records its outcome.
func (d *Demonstrator) sendChat(s *session, n uint64) {
	defer d.inFlight.Done()
	defer s.release()
	service, _ := d.fleet.Service(s.service)
	ctx, cancel := context.WithTimeout(context.Background(), service.DeadlineMS.Duration())
	defer cancel()
	phase := d.collector.currentPhase()
	r := request{
		id: fmt.Sprintf("r%d", n), workspace: s.workspace, model: s.service, session: s.id, token: s.token,
		prompt: fmt.Sprintf("%s Question %d.", s.topic, n),
	}
	if s.withoutID {
		r.session = ""
	}
	o := d.caller.chat(ctx, r)
	s.token = o.token
	d.collector.addChat(phase, r, o)
	d.addBestCost(r, o)
}

// addBestCost adds what the answer would have cost with the best model.
func (d *Demonstrator) addBestCost(r request, o outcome) {
	if !o.complete {
		return
	}
	best := d.fleet.Models[len(d.fleet.Models)-1]
	in, out := len(r.prompt)/4, len(strings.Fields(o.text))
	d.collector.mu.Lock()
	defer d.collector.mu.Unlock()
	d.collector.bestCost += float64(d.fleet.Cost(best.Name+"@"+best.Versions[0].Name, in, out))
}

// sendBooking sends a booking and records its outcome. If twice is set, the booking
// is sent to two addresses at once under the same idempotency key.
func (d *Demonstrator) sendBooking(n uint64, twice bool) {
	defer d.inFlight.Done()
	service, workspace := d.plainService()
	if service == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), service.DeadlineMS.Duration())
	defer cancel()
	key := fmt.Sprintf("visit-%d", n)
	deliveries := 1
	if twice {
		deliveries = 2
	}
	var group sync.WaitGroup
	results := make([]bool, deliveries)
	errs := make([]callError, deliveries)
	for k := range deliveries {
		group.Add(1)
		go func() {
			defer group.Done()
			results[k], errs[k] = d.caller.book(ctx, workspace, service.Name, key)
		}()
	}
	group.Wait()
	d.collector.mu.Lock()
	defer d.collector.mu.Unlock()
	notExecuted := true
	for k := range deliveries {
		d.collector.confirmed[key] = d.collector.confirmed[key] || results[k]
		notExecuted = notExecuted && !results[k] && errs[k].Execution == "no"
	}
	d.collector.notExecuted[key] = notExecuted
}

// plainService returns the first plain service and a workspace that may use it, or
// nil if there is none.
func (d *Demonstrator) plainService() (*parser.Service, string) {
	for i := range d.fleet.Services {
		s := &d.fleet.Services[i]
		if s.Kind != parser.KindPlain {
			continue
		}
		for _, w := range d.fleet.Workspaces {
			for _, allowed := range w.Services {
				if allowed == s.Name {
					return s, w.Name
				}
			}
		}
	}
	return nil, ""
}
