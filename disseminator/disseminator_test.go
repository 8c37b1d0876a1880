package disseminator

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/estimator"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/promoter"
	"rosemaryarch.example/rosemaryarch/storeemulator"
	"rosemaryarch.example/rosemaryarch/supervisor"
)

// TestNewCountsSentBeforeOldOnes guards against ratings of a new version that
// are delayed by thousands of older counts which every instance has read from
// the store, and against counts that never arrive after lost messages.
func TestNewCountsSentBeforeOldOnes(t *testing.T) {
	const instances, oldKeys = 9, 3000
	now := 1000 * clock.Hour
	oldCounts := estimator.New("history", 1, clock.Hour, 10*oldKeys)
	for k := range oldKeys {
		key := estimator.Key{Workspace: "w" + strconv.Itoa(k), Kind: "k", Version: "m@v1"}
		oldCounts.CountRating(key, now, now, 0.9)
	}
	oldSnapshot, _, err := oldCounts.Snapshot(0, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	store := storeemulator.New().Store()
	var estimators []*estimator.Estimator
	var disseminators []*Disseminator
	var members []gossiper.Member
	random := rand.New(rand.NewPCG(1, 1))
	for i := range instances {
		id := strconv.Itoa(i)
		r := estimator.New(id, 1, clock.Hour, 10*oldKeys)
		if _, err := r.Merge(oldSnapshot, now); err != nil {
			t.Fatal(err)
		}
		s := New(id, r, supervisor.New(store, r, promoter.Default(id)), rand.New(rand.NewPCG(2, uint64(i))))
		s.Members = func() []gossiper.Member { return members }
		s.Send = func(address, _ string, body []byte) error {
			to, err := strconv.Atoi(address)
			if err != nil || random.IntN(5) == 0 { // one in five messages is lost
				return err
			}
			return disseminators[to].Receive(now, body)
		}
		estimators, disseminators = append(estimators, r), append(disseminators, s)
		members = append(members, gossiper.Member{ID: id, Address: id, Incarnation: 1})
	}
	newKey := estimator.Key{Workspace: "w", Kind: "k", Version: "m@v2"}
	tick := func() {
		for _, s := range disseminators {
			if err := s.Tick(false); err != nil {
				t.Fatal(err)
			}
		}
	}
	tick()
	for i, r := range estimators {
		r.CountRating(newKey, now, now, 0.2)
		if got, want := r.Estimate(newKey, now).Rated, 1.0; got != want {
			t.Fatalf("ratings at instance %d: got %v, want %v", i, got, want)
		}
	}
	const rounds = 20 // of a second; bounds the delay until a bad version is stopped
	for range rounds {
		tick()
	}
	for i, r := range estimators {
		if got, want := r.Estimate(newKey, now).Rated, float64(instances); got != want {
			t.Errorf("ratings of the new version at instance %d after %d s: got %v, want %v", i, rounds, got, want)
		}
	}
}
