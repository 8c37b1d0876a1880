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
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/platform/objectemulator"
)

const (
	// startupTime is the time from the start of the processes to the first
	// requests.
	startupTime = 3 * clock.Second
	// recoveryTime is the time without faults at the end of a run. The service
	// must have recovered before its last part, recoveryCheckTime.
	recoveryTime      = 9 * clock.Second
	recoveryCheckTime = 3 * clock.Second
	// lateExecutionTime is the time after the last request in which a delayed
	// execution is still detected.
	lateExecutionTime = 1500 * clock.Millis(1)
	// contactTime is the platform's contactMs: guarantees with a time bound hold
	// for instances that had no fault for that long.
	contactTime = 3 * clock.Second
)

// Options configure a run.
type Options struct {
	Program    string       // path of the rosemaryarch executable
	Dir        string       // directory for settings and logs
	Seed       uint64       // seed of the fault schedule
	Instances  int          // number of instances
	Endpoints  int          // number of endpoints of each service
	Callers    int          // number of concurrent callers
	FaultPhase clock.Millis // duration of the phase with faults
	Out        io.Writer    // receives one line for each fault; nil: none
	// PromptsOnly injects no faults but prompts that crash endpoints, and ends the run
	// with them.
	PromptsOnly bool
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Requests   int      // number of requests sent
	Succeeded  int      // number of requests with a complete answer of status 200
	FaultLog   []string // log of the injected faults
	Prompts    string   // what the checks saw of prompts that crash endpoints; empty: there were none
	Violations []string // violated guarantees and errors of the soak test itself
}

// Soaker is one run of the soak test.
type Soaker struct {
	options   Options
	subnet    int // third byte of the loopback addresses of this run
	clock     clock.Clock
	rand      *rand.Rand // of the schedule
	store     *objectemulator.Emulator
	storeHTTP *http.Server
	instances []*instance
	endpoints []*endpoint
	checker   *checker
	crashPart string // id of the prompt part that crashes endpoints
	operator  *operator
	done      chan struct{} // closed to stop the callers

	mu        sync.Mutex
	faults    []string // log of the injected faults
	ownErrors []string // errors of the soak test itself
}

// New prepares a run. It panics if the number of instances, endpoints or callers
// is not positive or the duration of the faults is negative.
func New(o Options) *Soaker {
	if o.Instances < 1 || o.Endpoints < 1 || o.Callers < 1 || o.FaultPhase < 0 {
		panic("soaker: number of instances, endpoints or callers is not positive, or fault duration is negative")
	}
	c := clock.System()
	return &Soaker{
		options: o, clock: c, rand: rand.New(rand.NewPCG(o.Seed, 1)), store: objectemulator.New(), checker: newChecker(c),
		crashPart: fmt.Sprintf("f%x", matcher.Hash("crashing part", fmt.Sprint(o.Seed))), done: make(chan struct{}),
	}
}

// Run starts all processes, sends requests while the scheduled faults are injected,
// and checks the guarantees. It returns an error if the run cannot be set up or
// ctx ends; violations are in the report.
func (s *Soaker) Run(ctx context.Context) (*Report, error) {
	defer s.stop()
	if err := s.setUp(); err != nil {
		return nil, err
	}
	sleep(ctx, startupTime)
	var callers sync.WaitGroup
	for i := range s.options.Callers {
		callers.Go(func() { s.runCaller(ctx, i) })
	}
	s.injectFaults(ctx)
	recovered := clock.Millis(0)
	if !s.options.PromptsOnly {
		recovered = s.clock.Now() + recoveryTime - recoveryCheckTime
		sleep(ctx, recoveryTime)
	}
	close(s.done)
	callers.Wait()
	sleep(ctx, lateExecutionTime)
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "soaker: run was interrupted")
	}
	r := &Report{Seed: s.options.Seed, FaultLog: s.faults}
	r.Requests, r.Succeeded, r.Violations = s.checker.check(recovered)
	r.Prompts = s.checker.prompts
	r.Violations = append(r.Violations, s.ownErrors...)
	for _, i := range s.instances {
		if err := i.firstFailure(); err != nil {
			r.Violations = append(r.Violations, err.Error())
		}
	}
	return r, nil
}

// address returns an address in the loopback subnet of this run.
func (s *Soaker) address(host, port int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", s.subnet, host, port)
}

// Ports and last address bytes of the processes of a run. The ports of the
// endpoints and their proxies count up from the first one.
const (
	storePort         = 7100
	proxyPort         = 7200 // of the first endpoint's proxy
	endpointPort      = 7300 // of the first endpoint
	frontPort         = 7400
	readyPort         = 7401
	directoryPort     = 7402
	peerPort          = 7403
	storeHost         = 1
	endpointHost      = 2
	firstInstanceHost = 10 // of the first instance
)

// Loopback subnets of runs, by the third byte of their addresses.
const (
	firstSubnet = 100
	subnets     = 150
)

// claimSubnet chooses a subnet that no other run on this machine uses and returns
// the listener of its store.
func (s *Soaker) claimSubnet() (net.Listener, error) {
	var last error
	for range subnets {
		s.subnet = firstSubnet + rand.IntN(subnets)
		l, err := net.Listen("tcp4", s.address(storeHost, storePort))
		if err == nil {
			return l, nil
		}
		last = err
	}
	return nil, errors.Wrap(last, "soaker: no free loopback subnet for the run")
}

// setUp starts the store, the endpoints and the instances and writes the first
// configuration.
func (s *Soaker) setUp() error {
	if _, err := os.Stat(s.options.Program); err != nil {
		return errors.Wrap(err, "soaker: program to run")
	}
	if err := os.MkdirAll(s.options.Dir, 0o700); err != nil {
		return errors.Wrap(err, "soaker: create directory of the run")
	}
	store, err := s.claimSubnet()
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
	s.operator = newOperator(s)
	s.checker.keyState = s.operator.key
	if err := s.operator.writeConfig(); err != nil {
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

// stop ends everything that setUp started.
func (s *Soaker) stop() {
	for _, i := range s.instances {
		i.close()
	}
	for _, e := range s.endpoints {
		e.close()
	}
	if s.storeHTTP != nil {
		_ = s.storeHTTP.Close() // no longer used
	}
}

// logFault adds a line to the log of the faults, with the time since the start of
// the run.
func (s *Soaker) logFault(format string, args ...any) {
	line := fmt.Sprintf("%6d ms  ", s.clock.Now()-s.checker.start) + fmt.Sprintf(format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, line)
	if s.options.Out != nil {
		fmt.Fprintln(s.options.Out, line)
	}
}

// file returns the path of a file in the directory of the run.
func (s *Soaker) file(name string) string { return filepath.Join(s.options.Dir, name) }

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d clock.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(d.Duration()):
	}
}
