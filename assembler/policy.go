package assembler

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/reviser"
	"rosemaryarch.example/rosemaryarch/router"
	"rosemaryarch.example/rosemaryarch/signer"
)

// inForce is the adopted configuration. It is never changed.
type inForce struct {
	object       reviser.Object
	fleet        *parser.Fleet
	out          map[string]bool // data centres
	endpointsOut map[string]bool
	signer       signer.Signer
	outSince     clock.Millis // instant at which this instance's data centre was taken out; 0 if it is in
}

// policy is what the decisions of this instance are based on.
type policy struct {
	config atomic.Pointer[inForce]
	view   atomic.Pointer[router.View]
}

// current returns the adopted configuration; before the first one it is empty.
func (p *policy) current() *inForce {
	if c := p.config.Load(); c != nil {
		return c
	}
	return &inForce{fleet: &parser.Fleet{}}
}

// adopted takes over a revision. A text that this program cannot read leaves
// the former one in force: it was written by a newer program.
func (i *Instance) adopted(o reviser.Object) {
	f, err := parser.Parse("fleet", []byte(o.Text))
	if err != nil {
		klog.Errorf("assembler: revision %d cannot be read: %v", o.Revision, err)
		i.meter.Event("unreadable_revision")
		return
	}
	old := i.policy.current()
	n := &inForce{
		object: o, fleet: f, out: set(o.DataCentresOut), endpointsOut: set(o.EndpointsOut), signer: newSigner(o.SessionKeys),
	}
	if n.out[i.settings.DataCentre] {
		n.outSince = old.outSince
		if n.outSince == 0 {
			n.outSince = i.clock.Now()
		}
	}
	i.policy.config.Store(n)
	weights := map[string]float64{}
	for _, w := range f.Workspaces {
		weights[w.Name] = w.Share
	}
	i.admitter.SetWeights(weights)
	for _, service := range f.Services {
		if service.DeadlineMS > i.options.Permits.Work {
			klog.Warningf("assembler: deadline of service %s is cut to longest_request_ms, %d",
				service.Name, i.options.Permits.Work)
		}
	}
	i.refreshView()
	i.refreshEndpoints()
	klog.Infof("assembler: revision %d is in force", o.Revision)
}

func set(names []string) map[string]bool {
	found := make(map[string]bool, len(names))
	for _, n := range names {
		found[n] = true
	}
	return found
}

// newSigner returns a signer that signs with the newest key. Key ids are derived
// from the keys, so that all instances use the same.
func newSigner(keys [][]byte) signer.Signer {
	var s signer.Signer
	for k := len(keys) - 1; k >= 0; k-- {
		sum := sha256.Sum256(keys[k])
		next, err := s.WithKey(hex.EncodeToString(sum[:4]), keys[k])
		if err != nil {
			klog.Errorf("assembler: session key %d: %v", k, err)
			continue
		}
		s = next
	}
	return s
}

// refreshView computes what the router sees from configuration and records.
func (i *Instance) refreshView() {
	f := i.policy.current().fleet
	stopped := map[string]bool{}
	for version := range i.supervisor.Stopped(f) {
		stopped[version] = true
	}
	shares, _ := i.supervisor.Shares()
	i.policy.view.Store(&router.View{Fleet: f, Stopped: stopped, Shares: shares})
}

func (i *Instance) view() router.View {
	if v := i.policy.view.Load(); v != nil {
		return *v
	}
	return router.View{Fleet: i.policy.current().fleet}
}

// tickRollOuts decides on roll-outs.
func (i *Instance) tickRollOuts(now clock.Millis) {
	if i.supervisor.Tick(i.policy.current().fleet, now) {
		i.tickSpread(true)
	}
}

func (i *Instance) tickSpread(all bool) {
	if err := i.spreader.Tick(all); err != nil {
		klog.Errorf("assembler: spread counts: %v", err)
	}
}

// open reports whether callers should send new work here.
func (i *Instance) open() bool {
	c := i.policy.current()
	return !i.drain.leaving() && c.outSince == 0 && i.allocator.Joined() && i.confirmed() == nil
}

// ready tells why this instance may not take new work, or returns nil. After a
// removal of the data centre, or when it leaves, the instance takes work until
// the entries that callers keep have run out.
func (i *Instance) ready() error {
	now := i.clock.Now()
	grace := i.settings.Limits.EntryLifetimeMS + graceMargin
	if i.drain.closed(now, grace) {
		return refuser.ErrShuttingDown
	}
	if c := i.policy.current(); c.outSince > 0 && now > c.outSince+grace {
		return refuser.ErrDataCentreOut.WithMessage("data centre %s is taken out", i.settings.DataCentre)
	}
	return i.confirmed()
}

// graceMargin covers an entry list that was handed out just before the change
// reached the instance that composed it.
const graceMargin = 700 * clock.Millis(1)

// confirmed returns nil if the configuration may be acted on.
func (i *Instance) confirmed() error {
	if i.policy.config.Load() == nil {
		return refuser.ErrNotReady.WithMessage("no configuration has been adopted").WithRetryAfter(clock.Second)
	}
	if fresh, reason := i.follower.Fresh(i.clock.Now()); !fresh {
		return refuser.ErrNotReady.WithMessage("the configuration is not confirmed: %s", reason).WithRetryAfter(clock.Second)
	}
	return nil
}

func validateText(text string) error {
	_, err := parser.Parse("fleet", []byte(text))
	return err
}

func checkDataCentre(text, name string) error {
	f, err := parser.Parse("fleet", []byte(text))
	if err != nil {
		return refuser.ErrInvalidConfig.WithMessage("%v", err)
	}
	if _, ok := f.DataCentre(name); !ok {
		return refuser.ErrUnknownDataCentre.WithMessage("data centre %q is not listed in the configuration", name)
	}
	return nil
}

func (i *Instance) checkEndpoint(_, name string) error {
	for _, r := range i.tracker.Rows(i.clock.Now()) {
		if r.ID == name {
			return nil
		}
	}
	return refuser.ErrUnknownEndpoint.WithMessage("endpoint %q is not in the instance list", name)
}

// mayWrite refuses changes that the serving instances would not see.
func (i *Instance) mayWrite() error {
	if i.policy.config.Load() == nil {
		return nil // the first text of a new fleet
	}
	return i.follower.MayAccept(i.clock)
}
