package cataloger

import (
	"fmt"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// entry returns the entry of an endpoint that is warm.
func entry(id string, change func(*Endpoint)) Endpoint {
	e := Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1", DataCentre: "dc", Version: "v1", StartedAt: 5, Sequence: 9}
	if change != nil {
		change(&e)
	}
	return e
}

// Guards against requests to endpoints that are shutting down, and against the
// loss of live ones whose entries disappeared during an outage of the store
// (soak rule DRAIN).
func TestMayReceiveRequests(t *testing.T) {
	type step func(c *Cataloger)
	put := func(at clock.Millis, change func(*Endpoint)) step {
		return func(c *Cataloger) { c.Put(at, entry("a", change)) }
	}
	remove := func(at clock.Millis) step { return func(c *Cataloger) { c.Remove(at, "a") } }
	list := func(at clock.Millis, e ...Endpoint) step { return func(c *Cataloger) { c.Replace(at, e) } }
	lost := func(c *Cataloger) { c.StoreLost(5000) }
	seenUp := func(at, since clock.Millis) step { return func(c *Cataloger) { c.StoreSeenUp(at, since) } }
	regained := func(at clock.Millis) step { return func(c *Cataloger) { c.StoreRegained(at) } }
	back := func(at clock.Millis) step { return func(c *Cataloger) { c.StoreRegainedAt(at) } }
	expire := func(at clock.Millis) step { return func(c *Cataloger) { c.Expire(at) } }
	draining := func(e *Endpoint) { e.Draining = true }
	expired := func(c *Cataloger) { c.Snapshot(11300) } // the time alone ends the grace, no periodic call
	tests := map[string]struct {
		steps []step
		want  bool // the endpoint may receive requests
	}{
		"listed":                    {[]step{put(1000, nil)}, true},
		"draining":                  {[]step{put(1000, nil), put(9000, draining)}, false},
		"removed":                   {[]step{put(1000, nil), remove(9000)}, false},
		"missing in list":           {[]step{put(1000, nil), list(9000)}, false},
		"missing during outage":     {[]step{put(1000, nil), lost, list(9000), regained(9000), expire(10900)}, true},
		"missing after outage":      {[]step{put(1000, nil), lost, regained(9000), list(9100), expire(10900)}, true},
		"missing, not listed again": {[]step{put(1000, nil), lost, regained(9000), list(9100), expire(11300)}, false},
		"missing, grace just over":  {[]step{put(1000, nil), lost, regained(9000), list(9100), expired}, false},
		"missing, lost once more":   {[]step{put(1000, nil), lost, regained(9000), list(9100), lost, expired}, true},
		"cut off alone":             {[]step{put(1000, nil), lost, regained(9000), seenUp(9100, 4900), list(9200)}, false},
		"cut off alone, told late":  {[]step{put(1000, nil), lost, regained(9000), list(9100), seenUp(9300, 4900)}, false},
		"cut off alone, told just before": {
			[]step{put(1000, nil), lost, seenUp(8000, 4900), regained(9000), list(9100)},
			false,
		},
		"cut off, told while it lasts": {[]step{put(1000, nil), lost, list(6000), seenUp(6100, 4900)}, true},
		"told long before the return": {
			[]step{put(1000, nil), lost, seenUp(6000, 4900), regained(9000), list(9100)},
			true,
		},
		"store away for others too": {[]step{put(1000, nil), lost, regained(9000), list(9100), seenUp(9300, 8900)}, true},
		"store back from a copy": {
			[]step{put(1000, nil), lost, regained(9000), seenUp(9100, 4900), back(9500), list(9600), seenUp(9700, 4900)},
			true,
		},
		"missing, listed again": {
			[]step{put(1000, nil), lost, regained(9000), list(9100), put(10000, nil), expire(20000)},
			true,
		},
		"draining, missing during outage": {[]step{put(1000, draining), lost, list(9000), regained(9000)}, false},
		"drains during outage":            {[]step{put(1000, nil), lost, put(9000, draining)}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := New()
			for _, s := range tt.steps {
				s(c)
			}
			if got := c.Snapshot(0).Endpoint("a") != nil; got != tt.want {
				t.Errorf("may receive requests: got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against requests to an endpoint that has said that it leaves and whose entry
// disappears and comes back, and against one that stays unused after its process has
// restarted (soak rule DRAIN).
func TestLeavingIsRemembered(t *testing.T) {
	restart := func(e *Endpoint) { e.StartedAt, e.Sequence = 7000, 1 }
	tests := map[string]struct {
		then func(c *Cataloger)
		want bool // the endpoint may receive requests
	}{
		"nothing":          {func(*Cataloger) {}, false},
		"another report":   {func(c *Cataloger) { c.Put(2000, entry("a", func(e *Endpoint) { e.Sequence = 10 })) }, false},
		"removed and back": {func(c *Cataloger) { c.Remove(2000, "a"); c.Put(3000, entry("a", nil)) }, false},
		"missing and back": {func(c *Cataloger) {
			c.Replace(2000, nil)
			c.Replace(3000, []Endpoint{entry("a", nil)})
		}, false},
		"restarted":         {func(c *Cataloger) { c.Put(2000, entry("a", restart)) }, true},
		"restarted, listed": {func(c *Cataloger) { c.Replace(2000, []Endpoint{entry("a", restart)}) }, true},
		"long ago, present": {func(c *Cataloger) { c.Expire(1001 + leavingAge) }, false},
		"restarted, said late": {func(c *Cataloger) {
			c.Put(2000, entry("a", restart))
			c.MarkLeaving(2100, entry("a", nil)) // a response of the earlier process
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := New()
			c.Put(1000, entry("a", nil))
			if !c.MarkLeaving(1000, entry("a", nil)) || c.MarkLeaving(1001, entry("a", nil)) {
				t.Error("leaving is reported as new not once")
			}
			tt.then(c)
			if got := c.Snapshot(0).Endpoint("a") != nil; got != tt.want {
				t.Errorf("may receive requests: got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against full load on an endpoint that has just started, even under the
// same id, and against an endpoint that stays cold.
func TestCold(t *testing.T) {
	tests := map[string]struct {
		change func(*Endpoint)
		cold   bool
	}{
		"unchanged":                {nil, false},
		"another report":           {func(e *Endpoint) { e.Sequence = 10 }, false},
		"restarted, same id":       {func(e *Endpoint) { e.StartedAt, e.Sequence, e.WarmupLeft = 7000, 1, 3000 }, true},
		"became cold":              {func(e *Endpoint) { e.Sequence, e.WarmupLeft = 10, 2500 }, true},
		"moved, announces warm-up": {func(e *Endpoint) { e.Address, e.WarmupLeft = "10.0.0.2:1", 3000 }, true},
		"restarted, no warm-up":    {func(e *Endpoint) { e.StartedAt, e.Sequence = 7000, 1 }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := New()
			c.Replace(1000, []Endpoint{entry("a", nil)})
			c.Put(8000, entry("a", tt.change))
			if got := c.Snapshot(0).Endpoint("a").ColdUntil > 8000; got != tt.cold {
				t.Errorf("cold: got %v, want %v", got, tt.cold)
			}
			if got := c.Snapshot(0).Endpoint("a").ColdUntil > 12000; got {
				t.Error("cold long after the warm-up")
			}
		})
	}
	c := New()
	c.Replace(1000, []Endpoint{entry("a", nil), entry("b", nil)})
	if got := c.MarkCold(5000, func(s *State) bool { return s.ID == "b" }); got != 1 {
		t.Errorf("marked cold: got %d, want 1", got)
	}
	if a, b := c.Snapshot(0).Endpoint("a").ColdUntil, c.Snapshot(0).Endpoint("b").ColdUntil; a != 0 || b != 5000 {
		t.Errorf("cold until: got %d and %d, want 0 and 5000", a, b)
	}
}

// Guards against requests to a new version whose roll-out is not known yet.
func TestNewVersionWaitsForRollout(t *testing.T) {
	c := New()
	c.Replace(1000, []Endpoint{entry("a", nil)})
	c.Put(5000, entry("b", func(e *Endpoint) { e.Version = "v2" }))
	tests := map[string]struct {
		at      clock.Millis
		version string
		want    bool
	}{
		"first version at once": {1000, "v1", true},
		"new version at once":   {5000, "v2", false},
		"new version later":     {5000 + newVersionDelay, "v2", true},
		"unknown version":       {9000, "v3", false},
	}
	for name, tt := range tests {
		if got := c.VersionEligible(tt.at, "s", tt.version); got != tt.want {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
}

// Guards against building a snapshot with each change: while a fleet of 300
// instances started, 3,000 entries changed before the first request, and
// building the snapshots took most of the processor time.
func TestSnapshotIsBuiltOnDemand(t *testing.T) {
	c := New()
	for i := range 50 {
		c.Put(0, Endpoint{ID: fmt.Sprintf("e%02d", 49-i), Service: "s", Address: "a"})
		if c.snapshot != nil {
			t.Fatal("snapshot built without demand")
		}
	}
	snapshot := c.Snapshot(0)
	if snapshot != c.Snapshot(0) {
		t.Error("second snapshot built without a change")
	}
	for i, e := range snapshot.Service("s") {
		if want := fmt.Sprintf("e%02d", i); e.ID != want || snapshot.Endpoint(want) != e {
			t.Errorf("endpoint %d: got %s, want %s, also by its id", i, e.ID, want)
		}
	}
	c.Remove(10000, "e07")
	if c.Snapshot(0).Endpoint("e07") != nil || c.Snapshot(0).Len() != 49 {
		t.Errorf("after a removal: got %d endpoints, want 49 without e07", c.Snapshot(0).Len())
	}
	if snapshot.Endpoint("e07") == nil {
		t.Error("older snapshot has changed")
	}
}
