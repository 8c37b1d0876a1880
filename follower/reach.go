package follower

import (
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
)

// Reach asks members of each other data centre and later calls done once, with
// whether the data centres that answered, and the own one, hold at least half
// of the known members. Then a change that this instance accepts reaches every
// majority that may serve without the store. Gossip alone does not tell: over
// a one-way cut it still shows members alive that cannot be reached.
func (f *Follower) Reach(now clock.Millis, done func(ok bool)) {
	f.mu.Lock()
	defer f.unlock()
	r := &reach{alive: len(f.view.live[f.dataCentre]), known: f.view.known, done: done, reached: map[string]bool{}}
	for _, dc := range f.view.reachable {
		live := f.view.live[dc]
		if dc == f.dataCentre {
			continue
		}
		for _, i := range f.rand.Perm(len(live))[:min(reachAsks, len(live))] {
			r.open++
			f.reachMember(now, r, live[i], len(live))
		}
	}
	f.effects = append(f.effects, func() { f.settleReach(r, "", 0) })
}

// reach is one check of Reach.
type reach struct {
	alive, known, open int
	reached            map[string]bool
	done               func(ok bool) // nil when it was called
}

func (f *Follower) reachMember(now clock.Millis, r *reach, m gossiper.Member, members int) {
	body, err := cbor.Marshal(question{Have: f.held.Revision})
	if err != nil {
		return
	}
	f.effects = append(f.effects, func() {
		f.Ask(m.Address, body, func(at clock.Millis, answer []byte, err error) {
			f.answered(at, now, m.ID, answer, err)
			f.mu.Lock()
			r.open--
			f.mu.Unlock()
			if err != nil {
				members = 0
			}
			f.settleReach(r, m.DataCentre, members)
		})
	})
}

// settleReach counts the members of a data centre that answered, once, and
// ends the check when its result is certain.
func (f *Follower) settleReach(r *reach, dataCentre string, members int) {
	f.mu.Lock()
	if members > 0 && !r.reached[dataCentre] {
		r.reached[dataCentre] = true
		r.alive += members
	}
	ok := r.known > 0 && 2*r.alive >= r.known
	done := r.done
	if !ok && r.open > 0 {
		done = nil
	}
	if done != nil {
		r.done = nil
	}
	f.mu.Unlock()
	if done != nil {
		done(ok)
	}
}
