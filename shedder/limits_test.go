package shedder

import (
	"fmt"
	"math"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Guards against a panic, and against a request that counts as returned, if the same
// content comes back by another service or route, or after the state of its kind is gone.
func TestReturningElsewhere(t *testing.T) {
	tests := map[string]struct {
		change  func(*Request)
		returns bool
	}{
		"same":            {func(*Request) {}, true},
		"another service": {func(r *Request) { r.Service = "t" }, false},
		"another kind":    {func(r *Request) { r.Kind = "l" }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(Options{})
			r := Request{
				ID: 7, Service: "s", Kind: "k", Workspace: "w", Work: 100, Expected: 5000, Target: 1000, Remaining: 3000,
			}
			v := s.Decide(1000, r)
			if v.Admitted {
				t.Fatal("first attempt: admitted, want refused")
			}
			delete(s.services["s"].sizes, "k")
			tt.change(&r)
			now := 1000 + v.RetryAfter
			s.Decide(now, r)
			asked := s.services[r.Service].workspaces["w"].demand.Value(now)
			if r.Service == "s" {
				asked -= 100 * math.Exp(-float64(v.RetryAfter)/float64(rateSpan)) / float64(rateSpan)
			}
			if counted := asked > 1e-9; counted == tt.returns {
				t.Errorf("counted as new: got %v, want %v", counted, !tt.returns)
			}
		})
	}
}

// Guards against an impossible work or size that leaves the averages NaN for good.
func TestNotFinite(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5} {
		s := New(Options{})
		r := Request{Service: "s", Kind: "k", Workspace: "w", Expected: 500, Target: 1000, Remaining: 3000}
		r.Work, r.Size = x, x
		s.Decide(1000, r)
		r.Work, r.Size = 100, 100
		s.Decide(1100, r)
		v := s.services["s"]
		for name, got := range map[string]float64{
			"mean work": v.meanWork, "size": v.sizes["k"].recent[0], "demand": v.workspaces["w"].demand.Value(1100),
		} {
			if math.IsNaN(got) || got < 0 || got > 200 {
				t.Errorf("%s after %v: got %v, want 0 to 200", name, x, got)
			}
		}
	}
}

// Guards against reports of others that make the refused shares impossible, so that all or
// nothing of a workspace is refused.
func TestImpossibleDemand(t *testing.T) {
	a, b := matcher.Hash("workspace", "a"), matcher.Hash("workspace", "b")
	bad := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e9}
	list := []Demand{
		{Reporting: -1}, {Reporting: -7, Unknown: -9}, {Unknown: math.MinInt},
		{Unknown: 3, Sums: []Sum{{Instances: math.MinInt, Rates: map[uint64]float64{a: 1, b: 1}}}},
		{Unknown: 3, Sums: []Sum{{Instances: -5, Rates: map[uint64]float64{a: 1}}}},
		{Unknown: 3, Sums: []Sum{{Instances: math.MaxInt, Rates: map[uint64]float64{b: 1}}}},
	}
	for _, x := range bad {
		list = append(list, Demand{Reporting: 2, Rates: map[uint64]float64{a: x, b: 1}},
			Demand{Unknown: 3, Sums: []Sum{{Instances: 3, Rates: map[uint64]float64{a: x, b: 1}}}})
	}
	for _, others := range list {
		s, _ := short(0.4, "a", "b")
		v := s.services["s"]
		own := v.workspaces["a"].demand.Value(1100)
		c := v.controls["k"]
		c.plan = plan{}
		v.update(1100, c, "s", func(clock.Millis, string) Demand { return others })
		for hash, rate := range c.plan.rates {
			if !(rate >= 0) || math.IsInf(rate, 1) {
				t.Errorf("%+v: rate of %d: got %v", others, hash, rate)
			}
		}
		for _, x := range append(bad, 0, own) {
			if got := c.plan.refusedShare(a, x); !(got >= 0 && got <= maxRefused) {
				t.Errorf("%+v: refused share: got %v, want 0 to %v", others, got, maxRefused)
			}
		}
		if !(c.plan.excess >= 0 && c.plan.excess <= 1) || !(c.plan.level >= 0) || math.IsInf(c.plan.level, 1) {
			t.Errorf("%+v: got %+v", others, c.plan)
		}
	}
}

// Guards against memory that grows with the text and the number of the sessions that
// callers invent, and against their cost without a shortage.
func TestManySessions(t *testing.T) {
	s := New(Options{})
	r := Request{Service: "s", Kind: "k", Workspace: "w", Work: 100, Expected: 500, Target: 1000, Remaining: 3000}
	for i := range 100 {
		r.ID, r.Session = uint64(i), fmt.Sprint("quiet", i)
		s.Decide(clock.Millis(1000+i), r)
	}
	if got := len(s.services["s"].classes); got > 20 {
		t.Errorf("classes without a shortage: got %d, want at most 20", got)
	}
	r.Expected = 2000
	for i := range 4 * maxClasses {
		r.ID, r.Session, r.Workspace = uint64(i), fmt.Sprint("short", i), fmt.Sprint("w", i%50)
		s.Decide(clock.Millis(2000+i/8), r)
	}
	if got := len(s.services["s"].classes); got > maxClasses || got < maxClasses/2 {
		t.Errorf("classes in a shortage: got %d, want %d to %d", got, maxClasses/2, maxClasses)
	}
	for i := range 50 {
		if _, ok := s.services["s"].classes[classOf("workspace", fmt.Sprint("w", i))]; !ok {
			t.Errorf("the class of workspace w%d is missing", i)
		}
	}
}
