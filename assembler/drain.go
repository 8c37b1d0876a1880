package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// ErrDrainTimeout tells that requests were still running when the time to drain
// had passed.
var ErrDrainTimeout = errors.New("assembler: requests were still running after the time to drain")

// drainState is whether and since when the instance leaves.
type drainState struct {
	mu    sync.Mutex
	since clock.Millis
}

func (d *drainState) begin(now clock.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.since > 0 {
		return false
	}
	d.since = now
	return true
}

func (d *drainState) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since > 0
}

// closed reports whether new work is refused: the instance leaves, and the
// entries that callers keep have run out.
func (d *drainState) closed(now, grace clock.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since > 0 && now > d.since+grace
}

const drainPoll = 50 * time.Millisecond

// Shutdown ends the instance without cutting a request: it announces that it
// leaves, takes work until the entries that callers keep have run out, finishes
// what runs, commits what it holds, and stops. After drain_ms, or when ctx ends,
// it stops all the same and returns ErrDrainTimeout if requests were cut.
func (i *Instance) Shutdown(ctx context.Context) error {
	if !i.drain.begin(i.clock.Now()) {
		<-i.done
		return nil
	}
	klog.Infof("assembler: instance %s leaves", i.settings.Instance)
	i.sendPackets(i.gossip.Leave(i.clock.Now()))
	ctx, cancel := context.WithTimeout(ctx, i.settings.Limits.DrainMS.Duration())
	defer cancel()
	i.leavePlacement(ctx)
	drained := i.waitDrained(ctx)
	if !i.claimer.Drain(ctx) {
		klog.Warningf("assembler: outcomes of orders could not be committed")
	}
	if !i.drainBills(ctx) {
		klog.Warningf("assembler: bills could not be committed, their backups commit them")
	}
	if drained {
		i.allocator.Leave()
	}
	err := i.callers.Shutdown(ctx)
	i.Kill()
	klog.Infof("assembler: instance %s has stopped", i.settings.Instance)
	if !drained || err != nil {
		return ErrDrainTimeout
	}
	return nil
}

// waitDrained waits until the grace time has passed and nothing runs or waits.
func (i *Instance) waitDrained(ctx context.Context) bool {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	grace := i.settings.Limits.EntryLifetimeMS + graceMargin
	for {
		running, waiting := i.admitter.Load()
		if running+waiting == 0 && i.drain.closed(i.clock.Now(), grace) {
			return true
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
}
