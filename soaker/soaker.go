package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/platform/storekeeper"
)

const (
	// warmTime is how long the processes run before callers come.
	warmTime = 3 * clock.Second
	// calmTime is the time without faults at the end, in which service has to
	// return; checkedTime is its last part, in which it has to be there.
	calmTime    = 9 * clock.Second
	checkedTime = 3 * clock.Second
	// settleTime is the time after the last request in which a late run would
	// still show.
	settleTime = 1500 * clock.Millis(1)
	// contactTime is the users' contactMs: rules with a time bound hold for
	// instances that saw no fault for that long.
	contactTime = 3 * clock.Second
)

// Options are the settings of a run.
type Options struct {
	Program   string // built rosemaryarch
	Dir       string // takes settings and logs
	Seed      uint64
	Instances int
	Endpoints int // of each service
	Callers   int
	Faults    clock.Millis // length of the part with faults
	Out       io.Writer    // takes one line for each fault; nil: none
}

// Report is what a run found.
type Report struct {
	Seed       uint64
	Requests   int
	Answered   int
	Faults     []string
	Violations []string
}

// Soaker is one run.
type Soaker struct {
	options   Options
	net       int // third byte of the loopback addresses of this run
	clock     clock.Clock
	rand      *rand.Rand // of the schedule
	store     *storekeeper.Storekeeper
	storeHTTP *http.Server
	instances []*instance
	endpoints []*endpoint
	checker   *checker
	config    *operator
	done      chan struct{} // closed when callers stop

	mu       sync.Mutex
	faults   []string // lines of the schedule as it was played
	problems []string // errors of the soak itself
}

// New prepares a run. It panics if a number of parts is not positive.
func New(o Options) *Soaker {
	if o.Instances < 1 || o.Endpoints < 1 || o.Callers < 1 || o.Faults < 0 {
		panic("soaker: a run needs instances, endpoints and callers")
	}
	c := clock.System()
	return &Soaker{
		options: o, clock: c, rand: rand.New(rand.NewPCG(o.Seed, 1)), store: storekeeper.New(), checker: newChecker(c),
		done: make(chan struct{}),
	}
}

// Run plays the schedule of the seed. An error tells that the run could not be
// set up; broken promises are in the report.
func (s *Soaker) Run(ctx context.Context) (*Report, error) {
	defer s.stop()
	if err := s.setUp(); err != nil {
		return nil, err
	}
	sleep(ctx, warmTime)
	var callers sync.WaitGroup
	for i := range s.options.Callers {
		callers.Go(func() { s.call(ctx, i) })
	}
	s.play(ctx)
	calm := s.clock.Now()
	sleep(ctx, calmTime)
	close(s.done)
	callers.Wait()
	sleep(ctx, settleTime)
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "soak ended early")
	}
	r := &Report{Seed: s.options.Seed, Faults: s.faults}
	r.Requests, r.Answered, r.Violations = s.checker.judge(calm + calmTime - checkedTime)
	r.Violations = append(r.Violations, s.problems...)
	for _, i := range s.instances {
		if err := i.unexpected(); err != nil {
			r.Violations = append(r.Violations, err.Error())
		}
	}
	return r, nil
}

// address returns a loopback address of this run.
func (s *Soaker) address(host, port int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", s.net, host, port)
}

// Ports and hosts of a run.
const (
	storePort    = 7100
	proxyPort    = 7200 // of the first endpoint's proxy
	endpointPort = 7300
	frontPort    = 7400
	readyPort    = 7401
	namesPort    = 7402 // of the directory
	peerPort     = 7403
	storeHost    = 1
	endpointHost = 2
	firstHost    = 10 // of the instances
)

// Loopback networks of runs, by the third byte of their addresses.
const (
	firstNet = 100
	nets     = 150
)

// claimNet takes a network that no other run on this machine uses and returns
// the listener of its store.
func (s *Soaker) claimNet() (net.Listener, error) {
	var last error
	for range nets {
		s.net = firstNet + rand.IntN(nets)
		l, err := net.Listen("tcp4", s.address(storeHost, storePort))
		if err == nil {
			return l, nil
		}
		last = err
	}
	return nil, errors.Wrap(last, "no free loopback network for the run")
}

func (s *Soaker) setUp() error {
	if _, err := os.Stat(s.options.Program); err != nil {
		return errors.Wrap(err, "program to run")
	}
	if err := os.MkdirAll(s.options.Dir, 0o700); err != nil {
		return errors.Wrap(err, "directory of the run")
	}
	store, err := s.claimNet()
	if err != nil {
		return err
	}
	s.storeHTTP = serve(store, s.store)
	for i := range 2 * s.options.Endpoints {
		service := plainService
		if i >= s.options.Endpoints {
			service = modelService
		}
		e, err := newEndpoint(s, i, service)
		if err != nil {
			return err
		}
		s.endpoints = append(s.endpoints, e)
	}
	s.config = newOperator(s)
	s.checker.key = s.config.key
	if err := s.config.write(); err != nil {
		return err
	}
	for i := range s.options.Instances {
		n, err := newInstance(s, i)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soaker) stop() {
	for _, i := range s.instances {
		i.end()
	}
	for _, e := range s.endpoints {
		e.close()
	}
	if s.storeHTTP != nil {
		_ = s.storeHTTP.Close() // nothing of it is used any more
	}
}

// note records a fault or its end.
func (s *Soaker) note(format string, args ...any) {
	line := fmt.Sprintf("%6d ms  ", s.clock.Now()-s.checker.begin) + fmt.Sprintf(format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, line)
	if s.options.Out != nil {
		fmt.Fprintln(s.options.Out, line)
	}
}

func (s *Soaker) file(name string) string { return filepath.Join(s.options.Dir, name) }

func sleep(ctx context.Context, d clock.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(d.Duration()):
	}
}
