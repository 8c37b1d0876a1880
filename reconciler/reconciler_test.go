package reconciler

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/engineemulator"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/placer"
	"rosemaryarch.example/rosemaryarch/platformemulator"
	"rosemaryarch.example/rosemaryarch/storeemulator"
	"rosemaryarch.example/rosemaryarch/weightclient"
)

const key, object = "k", "placement/d"

// testDataCentre is one data centre with emulated store, platform and engines that
// are called without a network.
type testDataCentre struct {
	t             *testing.T
	clock         *clock.Manual
	store         *storeemulator.Emulator
	platform      *platformemulator.Emulator
	hosts         map[string]http.Handler
	list          []Endpoint
	shares        map[string]float64
	out           bool
	events        map[string]int
	beforeCommand func() // runs before each command is sent
}

// RoundTrip implements http.RoundTripper with the handler of the host.
func (f *testDataCentre) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	f.hosts[r.URL.Host].ServeHTTP(w, r)
	return w.Result(), nil
}

func newTestDataCentre(t *testing.T, shares map[string]float64) *testDataCentre {
	f := &testDataCentre{
		t: t, clock: clock.NewManual(1000 * clock.Second), store: storeemulator.New(), hosts: map[string]http.Handler{},
		shares: shares, events: map[string]int{},
	}
	f.platform = platformemulator.New(platformemulator.Options{
		Now: f.clock.Now, Weights: map[string]int64{"m@v1": 1, "m@v2": 1, "m@v3": 1}, WeightsPerMinute: 12, WeightsBurst: 1,
	})
	f.hosts["platform"] = f.platform
	return f
}

// addEngine adds an engine, or replaces the engine of the same id, as a restart does.
func (f *testDataCentre) addEngine(id string, o engineemulator.Options) *engineemulator.Emulator {
	weights := weightclient.NewHTTP("http://platform", &http.Client{Transport: f})
	o.Now, o.LoadTime, o.LoadDelay, o.Warm = f.clock.Now, 3*clock.Second, 500, true
	o.Fetch = func(ctx context.Context, version string) error {
		_, err := weights.ReserveDownload(ctx, version)
		return err
	}
	e := engineemulator.New(o)
	if f.hosts[id] == nil {
		f.list = append(f.list, Endpoint{ID: id, Address: "http://" + id, Slots: 2})
	}
	f.hosts[id] = e
	return e
}

func (f *testDataCentre) client(address string) engineclient.Client {
	return engineclient.NewHTTP(address, key, &http.Client{Transport: f})
}

func (f *testDataCentre) newReconciler(member string) *Reconciler {
	s := f.store.Store()
	return New(Options{
		Lease: &placer.Lease{
			Get: s.Get, Put: s.Put, Now: f.clock.Now, Key: object, Member: member, Lifetime: 6000, Margin: 500,
		},
		Now: f.clock.Now, MayTakeLease: func() bool { return true }, Out: func() bool { return f.out },
		Endpoints: func() []Endpoint {
			if f.out {
				return nil
			}
			return f.list
		},
		RequiredShares: func() map[string]float64 { return f.shares },
		MaxRequestTime: func() clock.Millis { return 30 * clock.Second },
		Load: func(ctx context.Context, address string) (engineclient.Load, error) {
			return f.client(address).Load(ctx)
		},
		Command: func(ctx context.Context, address string, n uint64, action, version string) error {
			if b := f.beforeCommand; b != nil {
				f.beforeCommand = nil
				b()
			}
			return f.client(address).Command(ctx, n, action, version)
		},
		CountEvent: func(name string) { f.events[name]++ }, SetGauge: func(string, float64) {},
		ForEach: func(n int, run func(int)) {
			for k := range n {
				run(k)
			}
		},
		Placer: placer.Options{
			CommandTimeout: 2000, LoadTimeout: 20 * clock.Second, Rate: 0.2, Burst: 1,
			Stages: []float64{0.5}, StageTime: 5 * clock.Second,
		},
		Keyed: true, RenewEvery: 1500, CallTimeout: 1000, ReportLag: clock.Second, PropagationTime: 11 * clock.Second,
		UnreadableTimeout: 30 * clock.Second, ForbiddenPause: 5 * clock.Minute,
	})
}

func (f *testDataCentre) run(d clock.Millis, reconcilers ...*Reconciler) {
	for end := f.clock.Now() + d; f.clock.Now() < end; f.clock.Advance(500) {
		for _, r := range reconcilers {
			r.Tick(context.Background())
		}
	}
}

// loadedVersions returns the versions that an endpoint reports.
func (f *testDataCentre) loadedVersions(id string) []string {
	l, err := f.client("http://" + id).Load(context.Background())
	if err != nil {
		f.t.Fatal(err)
	}
	return l.Versions
}

func (f *testDataCentre) wantVersions(what, id string, versions ...string) {
	f.t.Helper()
	if got := f.loadedVersions(id); !slices.Equal(got, versions) {
		f.t.Errorf("%s: %s holds %v, want %v", what, id, got, versions)
	}
}

// TestRollout guards against a roll-out that does not reach the engines, an old
// version that is unloaded while its requests run or that is never unloaded, a
// restarted engine that stays without versions, and loads above the weight store's
// rate.
func TestRollout(t *testing.T) {
	f := newTestDataCentre(t, map[string]float64{"m@v1": 1})
	for _, id := range []string{"a", "b"} {
		f.addEngine(id, engineemulator.Options{Versions: []string{"m@v1"}, CommandKey: key})
	}
	r := f.newReconciler("x/1")
	f.run(10*clock.Second, r)
	if got := f.events["placement_command_sent"]; got != 0 {
		t.Errorf("got %d commands for a placement that is already reached, want 0", got)
	}
	f.shares = map[string]float64{"m@v1": 0.5, "m@v2": 0.5}
	f.run(30*clock.Second, r)
	f.wantVersions("after the canary", "a", "m@v1", "m@v2")
	f.wantVersions("after the canary", "b", "m@v1", "m@v2")
	f.shares = map[string]float64{"m@v2": 1}
	f.run(10*clock.Second, r)
	f.wantVersions("before all instances know of the withdrawal", "a", "m@v1", "m@v2")
	f.run(15*clock.Second, r)
	f.wantVersions("after the withdrawal", "a", "m@v2")
	f.wantVersions("after the withdrawal", "b", "m@v2")
	f.addEngine("a", engineemulator.Options{CommandKey: key})
	f.run(20*clock.Second, r)
	f.wantVersions("after a restart without versions", "a", "m@v2")
	if got, want := f.platform.Fetched("m@v2"), 3; got != want {
		t.Errorf("the weights were fetched %d times, want %d", got, want)
	}
	if got := f.platform.Limited(); got != 0 {
		t.Errorf("the weight store refused %d loads, want 0", got)
	}
	if got := f.events["placement_change_failed"] + f.events["placement_command_no_weights"]; got != 0 {
		t.Errorf("%d failures, want 0", got)
	}
}

// TestUnloadWaitsForRequests guards against an unload while requests run, and against
// requests that prevent an unload for ever.
func TestUnloadWaitsForRequests(t *testing.T) {
	f := newTestDataCentre(t, map[string]float64{"m@v2": 1})
	f.addEngine("a", engineemulator.Options{Versions: []string{"m@v1", "m@v2"}, CommandKey: key})
	r := f.newReconciler("x/1")
	load := r.options.Load
	r.options.Load = func(ctx context.Context, address string) (engineclient.Load, error) {
		l, err := load(ctx, address)
		l.Running = 1
		return l, err
	}
	f.run(40*clock.Second, r)
	f.wantVersions("while requests may run", "a", "m@v1", "m@v2")
	f.run(10*clock.Second, r)
	f.wantVersions("after the longest request", "a", "m@v2")
}

// TestPausedHolder guards against commands of a holder that was paused until its lease
// had ended. It must drop the commands that it has not sent; an engine that checks the
// number refuses the one that it sends, and the state of an engine that ignores the
// number is corrected. The number 900 comes from a sender outside the fleet and must
// not prevent the holder's commands.
func TestPausedHolder(t *testing.T) {
	for name, c := range map[string]struct {
		ignores bool
		event   string
		stale   int
		foreign uint64
	}{
		"engine checks numbers":  {event: "placement_command_fenced"},
		"engine ignores numbers": {ignores: true, event: "placement_command_sent", stale: 1},
		"number from outside":    {event: "placement_command_fenced", foreign: 900},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestDataCentre(t, map[string]float64{"m@v1": 1})
			o := engineemulator.Options{Versions: []string{"m@v1"}, CommandKey: key, IgnoreFencing: c.ignores}
			e := f.addEngine("a", o)
			f.addEngine("b", o)
			if err := f.client("http://a").Command(t.Context(), c.foreign, engineclient.ActionLoad, "m@v1"); err != nil {
				t.Fatal(err)
			}
			predecessor, successor := f.newReconciler("x/1"), f.newReconciler("y/1")
			predecessor.options.Placer.Burst = 2 // commands to both engines in one tick
			f.run(10*clock.Second, predecessor, successor)
			if !predecessor.options.Lease.Held() || successor.options.Lease.Held() {
				t.Fatal("the first instance does not hold the lease alone")
			}
			events := 0
			f.beforeCommand = func() {
				f.shares = map[string]float64{"m@v1": 0.5, "m@v3": 0.5}
				f.run(40*clock.Second, successor)
				f.wantVersions("under the new holder", "a", "m@v1", "m@v3")
				events = f.events[c.event]
			}
			f.shares = map[string]float64{"m@v1": 0.5, "m@v2": 0.5}
			f.run(500, predecessor)
			if got := f.events[c.event] - events; got != 1 {
				t.Errorf("%d events %s of the paused holder, want 1", got, c.event)
			}
			if got := f.events["placement_command_dropped"]; got != 1 {
				t.Errorf("%d commands were dropped from the queue, want 1", got)
			}
			if got := e.StaleCommands(); got != c.stale {
				t.Errorf("%d stale commands ran, want %d", got, c.stale)
			}
			f.run(30*clock.Second, predecessor, successor)
			f.wantVersions("after the state was read back", "a", "m@v1", "m@v3")
			if err := successor.Leave(t.Context()); err != nil {
				t.Fatal(err)
			}
			f.run(2*clock.Second, predecessor, successor)
			if !predecessor.options.Lease.Held() || successor.options.Lease.Held() {
				t.Error("the lease of the leaving instance was not taken at once")
			}
		})
	}
}

// TestStoreFaults guards against a change of the placement during a store outage,
// against commands after the end of the lease, and against a lost answer that blocks
// the placement.
func TestStoreFaults(t *testing.T) {
	f := newTestDataCentre(t, map[string]float64{"m@v1": 1})
	f.addEngine("a", engineemulator.Options{Versions: []string{"m@v1"}, CommandKey: key})
	r := f.newReconciler("x/1")
	f.run(10*clock.Second, r)
	f.store.SetFaults(storeemulator.Faults{Down: true})
	f.shares = map[string]float64{"m@v2": 1}
	f.run(90*clock.Second, r)
	f.wantVersions("during the outage", "a", "m@v1")
	if got := f.events["placement_command_sent"]; got != 0 {
		t.Errorf("%d commands during the outage, want 0", got)
	}
	f.store.SetFaults(storeemulator.Faults{LoseWriteAnswers: 3})
	f.run(40*clock.Second, r)
	f.wantVersions("after lost answers", "a", "m@v2")
	if got := f.store.Faults().LoseWriteAnswers; got != 0 {
		t.Errorf("%d of the 3 answers were not lost, want 0", got)
	}
}

// TestForbidden guards against repeated commands to an engine that refuses the command
// key.
func TestForbidden(t *testing.T) {
	f := newTestDataCentre(t, map[string]float64{"m@v1": 1, "m@v2": 1})
	f.addEngine("a", engineemulator.Options{Versions: []string{"m@v1"}, CommandKey: "other"})
	f.addEngine("b", engineemulator.Options{Versions: []string{"m@v1"}, CommandKey: key})
	f.run(4*clock.Minute, f.newReconciler("x/1"))
	if got := f.events["placement_command_forbidden"]; got != 1 {
		t.Errorf("%d commands were refused, want 1", got)
	}
	f.wantVersions("engine that refuses the key", "a", "m@v1")
	f.wantVersions("engine that accepts the key", "b", "m@v1", "m@v2")
}

// TestReturnToService guards against commands to a data centre that is taken out of
// service, and against a return to service in which all endpoints load at once.
func TestReturnToService(t *testing.T) {
	f := newTestDataCentre(t, map[string]float64{"m@v1": 1})
	for _, id := range []string{"a", "b", "c", "d"} {
		f.addEngine(id, engineemulator.Options{Versions: []string{"m@v1"}, CommandKey: key})
	}
	r := f.newReconciler("x/1")
	f.run(20*clock.Second, r)
	f.out = true
	f.run(5*clock.Second, r)
	for _, e := range f.list {
		f.addEngine(e.ID, engineemulator.Options{CommandKey: key})
	}
	f.run(20*clock.Second, r)
	f.wantVersions("while out", "a")
	if got := r.options.Lease.Record().Stage; got != 0 {
		t.Errorf("stage %d while out, want 0", got)
	}
	f.out = false
	for range 60 {
		f.run(500, r)
		if r.options.Lease.Record().Stage == 0 && len(f.loadedVersions("c"))+len(f.loadedVersions("d")) > 0 {
			t.Fatal("the second half of the endpoints has loaded in the first stage")
		}
	}
	for _, e := range f.list {
		f.wantVersions("after the return", e.ID, "m@v1")
	}
}

// TestShares guards against a serving version or canary without a share, and against
// a withdrawn version with one.
func TestShares(t *testing.T) {
	f := &parser.Fleet{Models: []parser.Model{{Versions: []parser.Version{
		{Key: "m@v1", State: parser.StateWithdrawn}, {Key: "m@v2", State: parser.StateServing},
		{Key: "m@v3", State: parser.StateServing}, {Key: "m@v4", State: parser.StateCanary, SharePercent: 10},
	}}}}
	want := map[string]float64{"m@v2": 0.45, "m@v3": 0.45, "m@v4": 0.1}
	if got := Shares(f); !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
