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

// ErrPropertyViolated tells that a watched property did not hold.
var ErrPropertyViolated = errors.New("demonstrator: a property did not hold")

// Demonstrator is a fleet in one process.
type Demonstrator struct {
	ConfigText     string    // configuration text
	Output         io.Writer // progress and report
	Seed           uint64
	Instances      int
	ModelEngines   int     // model engines
	PlainEndpoints int     // endpoints of the plain service
	RequestRate    float64 // model requests a second
	TimeScale      float64 // of the phases' lengths; 1 takes about 50 s

	fleet     *parser.Fleet
	hoster    *hoster.Hoster
	instances []*assembler.Instance
	caller    *caller
	ledger    *ledger
	revision  uint64
	goodModel parser.Model // gets a good new version
	badModel  parser.Model // gets a bad one
	started   clock.Millis
	badSince  time.Time
	badUntil  time.Time
	inForce   []time.Duration // time until each change was in force everywhere
	requests  sync.WaitGroup
	next      atomic.Uint64
	watch     *watcher
}

var ratingPercent = regexp.MustCompile(`rating_percent: [0-9.]+`)

// answerTokens is the mean length of the stand-ins' answers.
const answerTokens = 32

// goodVersion and badVersion are rolled out in the demonstration.
const (
	goodVersion = "v2"
	badVersion  = "v3"
)

// Run plays the demonstration. It returns ErrViolated if a property failed.
func (d *Demonstrator) Run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "rosemaryarch-demo-")
	if err != nil {
		return errors.Wrap(err, "make directory for keys")
	}
	defer func() { _ = os.RemoveAll(dir) }() // keys of this run only
	if err := d.prepare(dir); err != nil {
		return err
	}
	defer d.close()
	if err := d.launch(ctx); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go d.load(loadCtx)
	for _, phase := range d.phases() {
		if err := d.play(ctx, phase); err != nil {
			return err
		}
	}
	stopLoad()
	d.say("waiting for the last requests")
	d.requests.Wait()
	d.watch.stop()
	return d.report(ctx)
}

func (d *Demonstrator) say(format string, args ...any) {
	fmt.Fprintf(d.Output, "%5.1fs  %s\n", float64(clock.System().Now()-d.started)/float64(clock.Second),
		fmt.Sprintf(format, args...))
}

func (d *Demonstrator) prepare(dir string) error {
	var err error
	// A few seconds must give the ratings that a day gives elsewhere.
	d.ConfigText = ratingPercent.ReplaceAllString(d.ConfigText, "rating_percent: 100")
	if d.fleet, err = parser.Parse("configuration", []byte(d.ConfigText)); err != nil {
		return err
	}
	if len(d.fleet.Models) < 2 {
		return errors.New("the demonstration needs a fleet with two models")
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
	d.ledger = newLedger(d.fleet)
	d.ledger.length = func(version, prompt string) int { return engineemulator.Length(version, prompt, answerTokens) }
	d.ledger.score = d.score
	return nil
}

// score is the quality that the rating service gives an answer.
func (d *Demonstrator) score(id, version, text string) float64 {
	return engineemulator.Score(d.Seed, d.quality(version), id, text)
}

func (d *Demonstrator) quality(version string) float64 {
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

// demoRoller moves in seconds instead of hours.
func demoRoller(instance string) promoter.Promoter {
	r := promoter.Default(instance)
	r.Steps = []float64{0.1, 0.3, 1}
	r.QualityMargins = []float64{0.20, 0.10}
	r.ErrorMargins = []float64{0.20, 0.10}
	r.Dwell = 2 * clock.Second
	return r
}

func (d *Demonstrator) launch(ctx context.Context) error {
	known, err := d.writeHistory(ctx)
	if err != nil {
		return err
	}
	d.say("the object API holds the counts of %d rated answers of an earlier day", known)
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
	d.say("%d instances in %d data centres, %d model engines, %d endpoints of the plain service",
		d.Instances, len(d.fleet.DataCentres), len(d.hoster.Engines), len(d.hoster.PlainEndpoints))
	d.watch = newWatcher(d)
	if err := d.apply(ctx, d.ConfigText); err != nil {
		return err
	}
	return d.eventually(ctx, "readiness of all instances", func() bool {
		for k := range d.instances {
			if !d.ready(ctx, k) {
				return false
			}
		}
		return true
	})
}

func (d *Demonstrator) newInstance(k int) (*assembler.Instance, error) {
	s, err := d.hoster.Settings()[k].Validated()
	if err != nil {
		return nil, err
	}
	i, err := assembler.New(s, assembler.Options{Promoter: demoRoller})
	if err != nil {
		return nil, err
	}
	return i, i.Start()
}

// ready reports whether the instance takes new work.
func (d *Demonstrator) ready(ctx context.Context, k int) bool {
	s, err := d.admin(k).Status(ctx, administrator.Empty{})
	return err == nil && s.Fresh && s.Revision > 0 && len(d.entries(ctx, k)) == d.Instances
}

func (d *Demonstrator) entries(ctx context.Context, k int) []server.Entry {
	var e server.Entries
	if d.caller.get(ctx, "http://"+d.hoster.Settings()[k].Listen+"/v1/entries", &e) != nil {
		return nil
	}
	return e.Entries
}

func (d *Demonstrator) admin(k int) administrator.Administrator {
	a, err := administrator.NewHTTP("http://"+d.hoster.Settings()[k].Listen, hoster.OperatorKey, d.caller.client)
	if err != nil {
		panic(err) // the address comes from a listener
	}
	return a
}

// eventuallyTimeout bounds the waits between phases.
const eventuallyTimeout = 15 * time.Second

func (d *Demonstrator) eventually(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, eventuallyTimeout)
	defer cancel()
	for !holds() {
		if ctx.Err() != nil {
			return errors.Newf("%s did not happen within %v", what, eventuallyTimeout)
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

// load sends requests until ctx ends: a few sessions per workspace in
// proportion to its share, and bookings, some of them delivered twice.
func (d *Demonstrator) load(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.Seed, 2))
	ticker := time.NewTicker(time.Duration(rampFactor * float64(time.Second) / d.RequestRate))
	defer ticker.Stop()
	sessions := newSessions(d.fleet, random)
	ramp := time.After(time.Duration(rampSeconds * d.TimeScale * float64(time.Second)))
	for n := 0; ; n++ {
		select {
		case <-ramp:
			ticker.Reset(time.Duration(float64(time.Second) / d.RequestRate))
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s, ok := sessions.next()
		if ok {
			d.requests.Add(1)
			go d.chat(s, d.next.Add(1))
		}
		if n%bookingEvery == 0 {
			d.requests.Add(1)
			go d.book(d.next.Add(1), random.IntN(3) == 0)
		}
	}
}

const (
	bookingEvery = 10
	// The instances know no endpoint as warm when they start, so that the load
	// begins at a part of its rate.
	rampFactor  = 5
	rampSeconds = 4
)

func (d *Demonstrator) chat(s *session, n uint64) {
	defer d.requests.Done()
	defer s.release()
	service, _ := d.fleet.Service(s.service)
	ctx, cancel := context.WithTimeout(context.Background(), service.DeadlineMS.Duration())
	defer cancel()
	phase := d.ledger.current()
	r := request{
		id: fmt.Sprintf("r%d", n), workspace: s.workspace, model: s.service, session: s.id, token: s.token,
		prompt: fmt.Sprintf("%s Question %d.", s.topic, n),
	}
	if s.single {
		r.session = ""
	}
	o := d.caller.chat(ctx, r)
	s.token = o.token
	d.ledger.chat(phase, r, o)
	d.count(r, o)
}

// count adds the prices of the version that answered and of the best one.
func (d *Demonstrator) count(r request, o outcome) {
	if !o.whole {
		return
	}
	best := d.fleet.Models[len(d.fleet.Models)-1]
	in, out := len(r.prompt)/4, len(strings.Fields(o.text))
	d.ledger.mu.Lock()
	defer d.ledger.mu.Unlock()
	d.ledger.best += float64(d.fleet.Cost(best.Name+"@"+best.Versions[0].Name, in, out))
}

// book places an order and, if twice is set, delivers it at two addresses at once.
func (d *Demonstrator) book(n uint64, twice bool) {
	defer d.requests.Done()
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
	var open sync.WaitGroup
	results := make([]bool, deliveries)
	errs := make([]callError, deliveries)
	for k := range deliveries {
		open.Add(1)
		go func() {
			defer open.Done()
			results[k], errs[k] = d.caller.book(ctx, workspace, service.Name, key)
		}()
	}
	open.Wait()
	d.ledger.mu.Lock()
	defer d.ledger.mu.Unlock()
	notRun := true
	for k := range deliveries {
		d.ledger.bookings[key] = d.ledger.bookings[key] || results[k]
		notRun = notRun && !results[k] && errs[k].Run == "no"
	}
	d.ledger.notRun[key] = notRun
}

// plainService returns the plain service and a workspace that may use it.
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
