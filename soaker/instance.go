package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/proxier"
)

// instance is one process of the program. It reaches the store through its own
// fault-injecting proxy.
type instance struct {
	soak     *Soaker
	name     string
	settings string           // path of the settings file
	front    string           // address for callers
	store    *proxier.Proxier // proxy of the store
	faultMu  sync.Mutex       // held by a fault that ends or pauses the process

	mu       sync.Mutex
	command  *exec.Cmd
	starts   int
	stopping bool          // the soak test has sent a signal that ends the process
	failures []string      // violations by the process itself
	exited   chan struct{} // closed when the process has ended
}

// graceS is the grace period in seconds after which a stopped process must have
// ended.
const graceS = 3

func newInstance(s *Soaker, i int) (*instance, error) {
	host := firstInstanceHost + i
	store, err := proxier.New(s.address(host, storePort), s.address(storeHost, storePort))
	if err != nil {
		return nil, err
	}
	n := &instance{soak: s, name: fmt.Sprintf("edge-%d", i+1), front: s.address(host, frontPort), store: store}
	settings := &platform.Settings{
		Instance: n.name, DataCentre: dataCentre(i), Region: "r", IP: fmt.Sprintf("127.0.%d.%d", s.subnet, host),
		PeerPorts: []int{peerPort, peerPort},
	}
	settings.Listen.Front, settings.Listen.Ready = n.front, s.address(host, readyPort)
	settings.Listen.Directory = s.address(host, directoryPort)
	settings.Limits.Cores, settings.Limits.MemoryMB = 1, 256
	settings.Store.Address = store.Address()
	settings.Bounds = platform.Bounds{
		GraceS: graceS, ConfigApplyMs: 2000, RevokeMs: float64(revokeTime), RetryRatio: 0.9, RetryWindowS: 10,
		RetrySlack: 58, WarmupOvershoot: 1.5, WarmupSlack: 5, MaxTTLS: 5, SessionTTLS: 5,
	}
	text, err := settings.Encode()
	if err != nil {
		return nil, errors.Wrap(err, "soaker: encode settings")
	}
	n.settings = s.file(n.name + ".toml")
	return n, errors.Wrap(os.WriteFile(n.settings, text, 0o600), "soaker: write settings")
}

// dataCentre distributes instances and endpoints over two data centres.
func dataCentre(i int) string { return []string{"a", "b"}[i%2] }

// start starts the process. Each start has its own log file.
func (n *instance) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	out, err := os.Create(n.soak.file(fmt.Sprintf("%s.%d.log", n.name, n.starts)))
	if err != nil {
		return errors.Wrap(err, "soaker: create log of an instance")
	}
	c := exec.Command(n.soak.options.Program, "edge", "--settings", n.settings)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		_ = out.Close() // nothing was written
		return errors.Wrap(err, "soaker: start an instance")
	}
	n.command, n.stopping, n.exited = c, false, make(chan struct{})
	exited, start := n.exited, n.starts
	go func() {
		err := c.Wait()
		_ = out.Close() // the process has ended
		n.mu.Lock()
		if !n.stopping {
			n.failures = append(n.failures, fmt.Sprintf("OWN END: %s, start %d, ended without a signal: %v", n.name, start, err))
		}
		n.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. ends tells that the signal ends it.
func (n *instance) signal(sig syscall.Signal, ends bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = n.stopping || ends
	if err := n.command.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		n.failures = append(n.failures, fmt.Sprintf("SIGNAL: %s: %v", n.name, err))
	}
}

// recordFailure records a violation by the process itself.
func (n *instance) recordFailure(text string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failures = append(n.failures, text)
}

// wait waits up to limit for the end of the process and reports whether it has
// ended.
func (n *instance) wait(limit time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// firstFailure returns the first recorded failure as an error, or nil.
func (n *instance) firstFailure() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.failures) == 0 {
		return nil
	}
	return errors.Newf("%s", n.failures[0])
}

// close kills the process and closes its proxy at the end of the run.
func (n *instance) close() {
	if n.command != nil {
		n.signal(syscall.SIGKILL, true)
		n.wait(time.Second)
	}
	n.store.Close()
}
