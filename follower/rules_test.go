package follower

import (
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/reviser"
	"rosemaryarch.example/rosemaryarch/storer"
)

// TestEvidenceAges guards against a delay anywhere that makes evidence look
// younger than it is.
func TestEvidenceAges(t *testing.T) {
	start := clock.Hour
	value, _ := reviser.Object{Revision: 1}.Encode()
	self := gossiper.Member{ID: "a", Address: "a:1", DataCentre: "oita"}
	peer := gossiper.Member{ID: "b", Address: "b:1", DataCentre: "oita"}
	source := New(peer, rand.New(rand.NewPCG(1, 1)))
	source.Accepted(start, value, 1, start-400)
	answer, _ := source.Answer(start, mustQuestion(0))
	digest := source.Digest(start, 9)
	newer, _ := cbor.Marshal(news{Revision: 2})
	cases := map[string]struct {
		learn func(f *Follower)
		want  clock.Millis // instant of the confirmation, 0 for none
	}{
		"own write": {func(f *Follower) { f.Accepted(start+2000, value, 1, start) }, start},
		"poll":      {func(f *Follower) { f.got(start+2000, start, stored(value), nil) }, start},
		"answer":    {func(f *Follower) { f.answered(start+2000, start-10, "b", answer, nil) }, start - 411},
		"hint":      {func(f *Follower) { _ = f.Hinted(start, "b", answer) }, 0},
		"watch":     {func(f *Follower) { f.Watched(start, stored(value)) }, 0},
		"answer of a newer revision without its body": {func(f *Follower) {
			f.Watched(start, stored(value))
			f.answered(start+10, start, "b", newer, nil)
		}, 0},
		"ack": {func(f *Follower) {
			f.Watched(start, stored(value))
			f.Heard(start+2000, peer, digest, start-20)
		}, start - 421},
		"ping": {func(f *Follower) {
			f.Watched(start, stored(value))
			f.Heard(start+2000, peer, digest, 0)
		}, 0},
		"stale poll": {func(f *Follower) {
			f.Watched(start, stored(value))
			f.polled(start, start, 0, nil)
		}, 0},
	}
	for name, c := range cases {
		f := New(self, rand.New(rand.NewPCG(2, 2)))
		f.Ask = func(string, []byte, func(clock.Millis, []byte, error)) {}
		f.Get = nil // a confirmation needs no further read
		f.Hint = func(string, []byte) {}
		c.learn(f)
		if f.confirmed != c.want {
			t.Errorf("%s: confirmed at %d, want %d", name, f.confirmed, c.want)
		}
		if c.want == 0 {
			continue
		}
		if got, _ := f.Fresh(c.want + FreshFor - 1); !got {
			t.Errorf("%s: not fresh just before 3 s", name)
		}
		if got, _ := f.Fresh(c.want + FreshFor); got {
			t.Errorf("%s: fresh at 3 s", name)
		}
	}
	if got, want := Counts(digest), uint64(9); got != want {
		t.Errorf("count-table digest: got %d, want %d", got, want)
	}
}

// TestRules guards against each condition of the freshness rule being dropped.
// The base state is fresh by the outage rule, and each case breaks one condition.
func TestRules(t *testing.T) {
	now := clock.Hour
	cases := map[string]struct {
		change func(f *Follower)
		want   string
	}{
		"outage":               {func(*Follower) {}, ReasonOutage},
		"confirmed":            {func(f *Follower) { f.confirmed = now - FreshFor + 1 }, ReasonConfirmed},
		"nothing held":         {func(f *Follower) { f.held.Revision = 0 }, ReasonNoConfiguration},
		"newer known":          {func(f *Follower) { f.highest = 8 }, ReasonNewerKnown},
		"never confirmed":      {func(f *Follower) { f.proven = false }, ReasonNoMajority},
		"exactly half":         {func(f *Follower) { f.view.known = 10 }, ReasonMinority},
		"old observation":      {func(f *Follower) { f.outages["oita"] = now - FreshFor }, ReasonSilent},
		"one without evidence": {func(f *Follower) { delete(f.outages, "aluva") }, ReasonSilent},
		"silent one has no alive member": {func(f *Follower) {
			delete(f.outages, "aluva")
			f.view.reachable = []string{"oita"}
		}, ReasonOutage},
	}
	for name, c := range cases {
		f := New(gossiper.Member{ID: "a", DataCentre: "oita"}, rand.New(rand.NewPCG(1, 1)))
		f.held.Revision, f.highest, f.proven, f.confirmed = 7, 7, true, now-FreshFor
		f.view.alive, f.view.known, f.view.reachable = 5, 9, []string{"aluva", "oita"}
		f.outages["aluva"], f.outages["oita"] = now-1, now-FreshFor+1
		c.change(f)
		fresh, got := f.Fresh(now)
		if wantFresh := c.want == ReasonOutage || c.want == ReasonConfirmed; got != c.want || fresh != wantFresh {
			t.Errorf("%s: got %v by %s, want %s", name, fresh, got, c.want)
		}
	}
}

// TestNeverLower guards against a lower revision being adopted from any source.
func TestNeverLower(t *testing.T) {
	high, _ := reviser.Object{Revision: 5}.Encode()
	low, _ := reviser.Object{Revision: 3}.Encode()
	answer, _ := cbor.Marshal(news{Revision: 3, Value: low, Version: 1, Age: noAge})
	sources := map[string]func(f *Follower, now clock.Millis){
		"write":  func(f *Follower, now clock.Millis) { f.Accepted(now, low, 1, now) },
		"watch":  func(f *Follower, now clock.Millis) { f.Watched(now, stored(low)) },
		"poll":   func(f *Follower, now clock.Millis) { f.got(now, now, stored(low), nil) },
		"answer": func(f *Follower, now clock.Millis) { f.answered(now, now, "b", answer, nil) },
		"broken": func(f *Follower, now clock.Millis) { f.Watched(now, stored([]byte("{"))) },
	}
	for name, offer := range sources {
		f := New(gossiper.Member{ID: "a", DataCentre: "oita"}, rand.New(rand.NewPCG(1, 1)))
		f.Hint = func(string, []byte) {}
		f.Watched(clock.Hour, storer.Object{Key: reviser.Key, Version: 9, Value: high})
		offer(f, clock.Hour+1)
		if got, want := f.Held().Revision, uint64(5); got != want {
			t.Errorf("%s: got revision %d, want %d", name, got, want)
		}
		if f.confirmed != 0 {
			t.Errorf("%s: a lower revision counts as confirmation", name)
		}
	}
}

func stored(value []byte) storer.Object {
	return storer.Object{Key: reviser.Key, Version: 1, Value: value}
}

func mustQuestion(have uint64) []byte {
	b, err := cbor.Marshal(question{Have: have})
	if err != nil {
		panic(err)
	}
	return b
}
