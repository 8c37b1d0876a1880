package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/clock"
)

// ErrDrainTimeout is returned if requests were still running at the end of the
// drain timeout.
var ErrDrainTimeout = errors.New("assembler: requests were still running at the drain timeout")

// drainState records whether and since when the instance is shutting down.
type drainState struct {
	mu    sync.Mutex
	since clock.Millis // instant at which the shutdown began; 0 before
}

// begin records that the shutdown begins now. It reports false if it had begun
// before.
func (d *drainState) begin(now clock.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.since > 0 {
		return false
	}
	d.since = now
	return true
}

// started reports whether the shutdown has begun.
func (d *drainState) started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since > 0
}

// refusesRequests reports whether new requests are refused: the shutdown has begun
// more than the grace time ago, so that no caller should still use this address.
func (d *drainState) refusesRequests(now, grace clock.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since > 0 && now > d.since+grace
}

const drainPollInterval = 50 * time.Millisecond

// Shutdown stops the instance without interrupting a request. It announces that
// the instance leaves, accepts requests until the entry lists that callers have
// cached are expired, waits for the running requests, commits outcomes and bills,
// and stops. After drain_ms, or when ctx ends, it stops in any case; it returns
// ErrDrainTimeout if requests were interrupted.
func (i *Instance) Shutdown(ctx context.Context) error {
	if !i.drain.begin(i.clock.Now()) {
		<-i.done
		return nil
	}
	klog.Infof("assembler: instance %s is shutting down", i.settings.Instance)
	i.sendPackets(i.gossip.Leave(i.clock.Now()))
	ctx, cancel := context.WithTimeout(ctx, i.settings.Limits.DrainMS.Duration())
	defer cancel()
	i.leavePlacement(ctx)
	drained := i.waitDrained(ctx)
	if !i.claimer.Drain(ctx) {
		klog.Warningf("assembler: some outcomes of calls were not committed")
	}
	if !i.drainBills(ctx) {
		klog.Warningf("assembler: some bills were not committed; the instances with their backups will commit them")
	}
	if drained {
		i.allocator.Leave()
	}
	err := i.callerServer.Shutdown(ctx)
	i.Kill()
	klog.Infof("assembler: instance %s has stopped", i.settings.Instance)
	if !drained || err != nil {
		return ErrDrainTimeout
	}
	return nil
}

// waitDrained waits until the grace time has passed and no request is running or
// queued. It reports false if ctx ends before.
func (i *Instance) waitDrained(ctx context.Context) bool {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	grace := i.settings.Limits.EntryLifetimeMS + entryLifetimeMargin
	for {
		running, waiting := i.admitter.Load()
		if running+waiting == 0 && i.drain.refusesRequests(i.clock.Now(), grace) {
			return true
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
}
