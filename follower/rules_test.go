package follower

import (
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/configwriter"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// TestEvidenceAges guards against evidence that looks younger than it is because
// a call, a message or its handling was delayed.
func TestEvidenceAges(t *testing.T) {
	start := clock.Hour
	value, _ := configwriter.Object{Revision: 1}.Encode()
	self := gossiper.Member{ID: "a", Address: "a:1", DataCentre: "oita"}
	peer := gossiper.Member{ID: "b", Address: "b:1", DataCentre: "oita"}
	source := New(peer, rand.New(rand.NewPCG(1, 1)))
	source.HandleWrite(start, value, 1, start-400)
	answer, _ := source.HandleQuery(start, mustEncodeQuery(0))
	digest := source.Digest(start, 9)
	newer, _ := cbor.Marshal(report{Revision: 2})
	cases := map[string]struct {
		learn func(f *Follower)
		want  clock.Millis // instant of the confirmation, 0 for none
	}{
		"own write": {func(f *Follower) { f.HandleWrite(start+2000, value, 1, start) }, start},
		"poll":      {func(f *Follower) { f.handleObject(start+2000, start, storeObject(value), nil) }, start},
		"answer":    {func(f *Follower) { f.handleAnswer(start+2000, start-10, "b", answer, nil) }, start - 411},
		"hint":      {func(f *Follower) { _ = f.HandleHint(start, "b", answer) }, 0},
		"watch":     {func(f *Follower) { f.HandleWatch(start, storeObject(value)) }, 0},
		"answer of a newer revision without its body": {func(f *Follower) {
			f.HandleWatch(start, storeObject(value))
			f.handleAnswer(start+10, start, "b", newer, nil)
		}, 0},
		"ack": {func(f *Follower) {
			f.HandleWatch(start, storeObject(value))
			f.HandleDigest(start+2000, peer, digest, start-20)
		}, start - 421},
		"ping": {func(f *Follower) {
			f.HandleWatch(start, storeObject(value))
			f.HandleDigest(start+2000, peer, digest, 0)
		}, 0},
		"stale poll": {func(f *Follower) {
			f.HandleWatch(start, storeObject(value))
			f.handleVersion(start, start, 0, nil)
		}, 0},
	}
	for name, c := range cases {
		f := New(self, rand.New(rand.NewPCG(2, 2)))
		f.SendQuery = func(string, []byte, func(clock.Millis, []byte, error)) {}
		f.ReadObject = nil // fails the test if a confirmation reads the object
		f.SendHint = func(string, []byte) {}
		c.learn(f)
		if f.confirmedAt != c.want {
			t.Errorf("%s: confirmed at %d, want %d", name, f.confirmedAt, c.want)
		}
		if c.want == 0 {
			continue
		}
		if got, _ := f.Fresh(c.want + MaxEvidenceAge - 1); !got {
			t.Errorf("%s: not fresh just before 3 s", name)
		}
		if got, _ := f.Fresh(c.want + MaxEvidenceAge); got {
			t.Errorf("%s: fresh at 3 s", name)
		}
	}
	if got, want := CountsDigest(digest), uint64(9); got != want {
		t.Errorf("count-table digest: got %d, want %d", got, want)
	}
}

// TestFreshnessConditions guards against the loss of any condition of the
// freshness rule. The initial state is fresh by the outage rule, and each case
// changes one condition.
func TestFreshnessConditions(t *testing.T) {
	now := clock.Hour
	cases := map[string]struct {
		change func(f *Follower)
		want   string
	}{
		"outage":               {func(*Follower) {}, ReasonOutage},
		"confirmed":            {func(f *Follower) { f.confirmedAt = now - MaxEvidenceAge + 1 }, ReasonConfirmed},
		"no object":            {func(f *Follower) { f.current.Revision = 0 }, ReasonNoConfiguration},
		"newer known":          {func(f *Follower) { f.highestKnown = 8 }, ReasonNewerKnown},
		"never confirmed":      {func(f *Follower) { f.bootstrapped = false }, ReasonNoMajority},
		"exactly half":         {func(f *Follower) { f.view.knownCount = 10 }, ReasonMinority},
		"old observation":      {func(f *Follower) { f.outageSeenAt["oita"] = now - MaxEvidenceAge }, ReasonNoOutageEvidence},
		"one without evidence": {func(f *Follower) { delete(f.outageSeenAt, "aluva") }, ReasonNoOutageEvidence},
		"one without evidence and alive members": {func(f *Follower) {
			delete(f.outageSeenAt, "aluva")
			f.view.aliveDataCentres = []string{"oita"}
		}, ReasonOutage},
	}
	for name, c := range cases {
		f := New(gossiper.Member{ID: "a", DataCentre: "oita"}, rand.New(rand.NewPCG(1, 1)))
		f.current.Revision, f.highestKnown, f.bootstrapped, f.confirmedAt = 7, 7, true, now-MaxEvidenceAge
		f.view.aliveCount, f.view.knownCount, f.view.aliveDataCentres = 5, 9, []string{"aluva", "oita"}
		f.outageSeenAt["aluva"], f.outageSeenAt["oita"] = now-1, now-MaxEvidenceAge+1
		c.change(f)
		fresh, got := f.Fresh(now)
		if wantFresh := c.want == ReasonOutage || c.want == ReasonConfirmed; got != c.want || fresh != wantFresh {
			t.Errorf("%s: got %v by %s, want %s", name, fresh, got, c.want)
		}
	}
}

// TestLowerRevisionNotAdopted guards against the adoption of a lower revision
// from any source.
func TestLowerRevisionNotAdopted(t *testing.T) {
	high, _ := configwriter.Object{Revision: 5}.Encode()
	low, _ := configwriter.Object{Revision: 3}.Encode()
	answer, _ := cbor.Marshal(report{Revision: 3, Value: low, Version: 1, Age: neverConfirmed})
	sources := map[string]func(f *Follower, now clock.Millis){
		"write":  func(f *Follower, now clock.Millis) { f.HandleWrite(now, low, 1, now) },
		"watch":  func(f *Follower, now clock.Millis) { f.HandleWatch(now, storeObject(low)) },
		"poll":   func(f *Follower, now clock.Millis) { f.handleObject(now, now, storeObject(low), nil) },
		"answer": func(f *Follower, now clock.Millis) { f.handleAnswer(now, now, "b", answer, nil) },
		"broken": func(f *Follower, now clock.Millis) { f.HandleWatch(now, storeObject([]byte("{"))) },
	}
	for name, offer := range sources {
		f := New(gossiper.Member{ID: "a", DataCentre: "oita"}, rand.New(rand.NewPCG(1, 1)))
		f.SendHint = func(string, []byte) {}
		f.HandleWatch(clock.Hour, storeclient.Object{Key: configwriter.Key, Version: 9, Value: high})
		offer(f, clock.Hour+1)
		if got, want := f.Current().Revision, uint64(5); got != want {
			t.Errorf("%s: got revision %d, want %d", name, got, want)
		}
		if f.confirmedAt != 0 {
			t.Errorf("%s: a lower revision counts as confirmation", name)
		}
	}
}

func storeObject(value []byte) storeclient.Object {
	return storeclient.Object{Key: configwriter.Key, Version: 1, Value: value}
}

func mustEncodeQuery(have uint64) []byte {
	b, err := cbor.Marshal(query{Have: have})
	if err != nil {
		panic(err)
	}
	return b
}
