package follower

import (
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
)

// CheckReachability queries members of each other data centre and calls done once,
// with whether the data centres that answered and that of this instance contain
// at least half of the known members. If so, a change that this instance accepts
// reaches every majority that may serve without the store. Gossip is not
// sufficient: over a one-way cut it still shows members as alive that cannot be
// reached.
func (f *Follower) CheckReachability(now clock.Millis, done func(ok bool)) {
	f.mu.Lock()
	defer f.unlock()
	check := &reachabilityCheck{
		reachableCount: len(f.view.aliveMembers[f.dataCentre]), knownCount: f.view.knownCount,
		done: done, answered: map[string]bool{},
	}
	for _, dc := range f.view.aliveDataCentres {
		alive := f.view.aliveMembers[dc]
		if dc == f.dataCentre {
			continue
		}
		for _, i := range f.rand.Perm(len(alive))[:min(reachabilityQueries, len(alive))] {
			check.openQueries++
			f.checkMember(now, check, alive[i], len(alive))
		}
	}
	f.effects = append(f.effects, func() { f.updateReachabilityCheck(check, "", 0) })
}

// reachabilityCheck is the state of one call of CheckReachability.
type reachabilityCheck struct {
	// reachableCount is the number of alive members in the data centres that
	// answered and in that of this instance.
	reachableCount, knownCount, openQueries int

	answered map[string]bool // data centres that have answered
	done     func(ok bool)   // nil after its call
}

// checkMember queries one member of a data centre with the given number of alive
// members.
func (f *Follower) checkMember(now clock.Millis, check *reachabilityCheck, m gossiper.Member, aliveInDataCentre int) {
	body, err := cbor.Marshal(query{Have: f.current.Revision})
	if err != nil {
		return
	}
	f.effects = append(f.effects, func() {
		f.SendQuery(m.Address, body, func(at clock.Millis, answer []byte, err error) {
			f.handleAnswer(at, now, m.ID, answer, err)
			f.mu.Lock()
			check.openQueries--
			f.mu.Unlock()
			if err != nil {
				aliveInDataCentre = 0
			}
			f.updateReachabilityCheck(check, m.DataCentre, aliveInDataCentre)
		})
	})
}

// updateReachabilityCheck counts the alive members of a data centre that
// answered, once per data centre, and ends the check when its result is certain.
func (f *Follower) updateReachabilityCheck(check *reachabilityCheck, dataCentre string, aliveInDataCentre int) {
	f.mu.Lock()
	if aliveInDataCentre > 0 && !check.answered[dataCentre] {
		check.answered[dataCentre] = true
		check.reachableCount += aliveInDataCentre
	}
	ok := check.knownCount > 0 && 2*check.reachableCount >= check.knownCount
	done := check.done
	if !ok && check.openQueries > 0 {
		done = nil
	}
	if done != nil {
		check.done = nil
	}
	f.mu.Unlock()
	if done != nil {
		done(ok)
	}
}
