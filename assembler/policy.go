package assembler

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/configwriter"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/router"
	"rosemaryarch.example/rosemaryarch/signer"
)

// activeConfig is an adopted configuration with values derived from it. It is
// immutable: a new revision replaces it.
type activeConfig struct {
	object         configwriter.Object
	fleet          *parser.Fleet
	dataCentresOut map[string]bool // data centres out of service
	endpointsOut   map[string]bool // endpoints out of service
	signer         signer.Signer
	outSince       clock.Millis // instant at which this data centre was seen to be out of service; 0 if it is in service
}

// configState holds the configuration on which the instance bases its decisions.
type configState struct {
	active   atomic.Pointer[activeConfig]
	snapshot atomic.Pointer[router.ConfigSnapshot] // for the router: the configuration with the roll-out records applied
}

// current returns the active configuration, or an empty one if none has been
// adopted yet.
func (s *configState) current() *activeConfig {
	if c := s.active.Load(); c != nil {
		return c
	}
	return &activeConfig{fleet: &parser.Fleet{}}
}

// adoptConfig makes a revision the active configuration. If its text cannot be
// parsed, the previous one stays active: the text was written for a newer version
// of this program.
func (i *Instance) adoptConfig(o configwriter.Object) {
	f, err := parser.Parse("fleet", []byte(o.Text))
	if err != nil {
		klog.Errorf("assembler: revision %d cannot be read: %v", o.Revision, err)
		i.meter.CountEvent("unreadable_revision")
		return
	}
	previous := i.config.current()
	next := &activeConfig{
		object: o, fleet: f, dataCentresOut: toSet(o.DataCentresOut), endpointsOut: toSet(o.EndpointsOut),
		signer: newSigner(o.SessionKeys),
	}
	if next.dataCentresOut[i.settings.DataCentre] {
		next.outSince = previous.outSince
		if next.outSince == 0 {
			next.outSince = i.clock.Now()
		}
	}
	i.config.active.Store(next)
	weights := map[string]float64{}
	for _, w := range f.Workspaces {
		weights[w.Name] = w.Weight
	}
	i.admitter.SetWeights(weights)
	for _, service := range f.Services {
		if service.DeadlineMS > i.options.Permits.MaxRequestTime {
			klog.Warningf("assembler: the deadline of service %s is reduced to longest_request_ms, %d",
				service.Name, i.options.Permits.MaxRequestTime)
		}
	}
	i.refreshSnapshot()
	i.refreshEndpoints()
	klog.Infof("assembler: revision %d is in force", o.Revision)
}

func toSet(names []string) map[string]bool {
	found := make(map[string]bool, len(names))
	for _, n := range names {
		found[n] = true
	}
	return found
}

// newSigner returns a signer that signs with the first key, the newest, and
// verifies with all keys. Key ids are derived from the keys, so that they are the
// same on all instances.
func newSigner(keys [][]byte) signer.Signer {
	var s signer.Signer
	for k := len(keys) - 1; k >= 0; k-- {
		sum := sha256.Sum256(keys[k])
		next, err := s.WithKey(hex.EncodeToString(sum[:4]), keys[k])
		if err != nil {
			klog.Errorf("assembler: cannot use session key %d: %v", k, err)
			continue
		}
		s = next
	}
	return s
}

// refreshSnapshot computes the router's snapshot from the configuration and the
// roll-out records.
func (i *Instance) refreshSnapshot() {
	f := i.config.current().fleet
	stopped := map[string]bool{}
	for version := range i.supervisor.Stopped(f) {
		stopped[version] = true
	}
	shares, _ := i.supervisor.Shares()
	i.config.snapshot.Store(&router.ConfigSnapshot{Fleet: f, Stopped: stopped, Shares: shares})
}

func (i *Instance) configSnapshot() router.ConfigSnapshot {
	if v := i.config.snapshot.Load(); v != nil {
		return *v
	}
	return router.ConfigSnapshot{Fleet: i.config.current().fleet}
}

// tickRollOuts decides on the progress of the roll-outs, and sends new records to
// the peers at once.
func (i *Instance) tickRollOuts(now clock.Millis) {
	if i.supervisor.Tick(i.config.current().fleet, now) {
		i.tickDissemination(true)
	}
}

// tickDissemination sends quality counts and roll-out records to peers.
func (i *Instance) tickDissemination(all bool) {
	if err := i.disseminator.Tick(all); err != nil {
		klog.Errorf("assembler: cannot send counts to peers: %v", err)
	}
}

// isAdvertised reports whether the entry list names this instance, so that callers
// send new requests to it.
func (i *Instance) isAdvertised() bool {
	c := i.config.current()
	return !i.drain.started() && c.outSince == 0 && i.allocator.Joined() && i.checkConfirmed() == nil
}

// checkReady returns nil if this instance accepts new requests, or else the
// reason. After the data centre is taken out of service or a shutdown has begun,
// the instance accepts requests until the entry lists that callers have cached are
// expired.
func (i *Instance) checkReady() error {
	now := i.clock.Now()
	grace := i.settings.Limits.EntryLifetimeMS + entryLifetimeMargin
	if i.drain.refusesRequests(now, grace) {
		return refuser.ErrShuttingDown
	}
	if c := i.config.current(); c.outSince > 0 && now > c.outSince+grace {
		return refuser.ErrDataCentreOut.WithMessage("data centre %s is taken out", i.settings.DataCentre)
	}
	return i.checkConfirmed()
}

// entryLifetimeMargin is added to the lifetime of entry lists: a peer may still
// have handed out a list with this instance until it learned of the change.
const entryLifetimeMargin = 700 * clock.Millis(1)

// checkConfirmed returns nil if the configuration is recent enough to act on.
func (i *Instance) checkConfirmed() error {
	if i.config.active.Load() == nil {
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
	for _, r := range i.tracker.EndpointStates(i.clock.Now()) {
		if r.ID == name {
			return nil
		}
	}
	return refuser.ErrUnknownEndpoint.WithMessage("endpoint %q is not in the instance list", name)
}

// checkWritable refuses changes of the configuration while too few instances
// would receive them.
func (i *Instance) checkWritable() error {
	if i.config.active.Load() == nil {
		return nil // the first configuration of a new fleet
	}
	return i.follower.CheckWritable(i.clock)
}
