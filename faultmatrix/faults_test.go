package faultmatrix

import (
	"context"
	"fmt"
	"time"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineemulator"
	"rosemaryarch.example/rosemaryarch/hoster"
	"rosemaryarch.example/rosemaryarch/listclient"
	"rosemaryarch.example/rosemaryarch/platformemulator"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// The parts that faults hit: the instance that takes the first delivery of every
// step, and its data centre with its endpoints.
const victim = 0

// fault is a row of the matrix.
type fault struct {
	inject func(x *fleet)
	clear  func(x *fleet)
	verify func(x *fleet, injected time.Time) // before clear
	lag    clock.Millis                       // of the instance list
	lost   bool                               // the victim does not serve while the fault lasts
}

func store(f storeemulator.Faults) fault {
	return fault{
		inject: func(x *fleet) { x.hoster.Store.SetFaults(f) },
		clear:  func(x *fleet) { x.hoster.Store.SetFaults(storeemulator.Faults{}) },
	}
}

func platform(f platformemulator.Faults) fault {
	return fault{
		inject: func(x *fleet) { x.hoster.Platform.SetFaults(f) },
		clear:  func(x *fleet) { x.hoster.Platform.SetFaults(platformemulator.Faults{}) },
	}
}

// engine is a fault of every engine in the victim's data centre.
func engine(f engineemulator.Faults) fault {
	set := func(x *fleet, f engineemulator.Faults) {
		for _, e := range x.engines(victim) {
			e.SetFaults(f)
		}
	}
	return fault{
		inject: func(x *fleet) { set(x, f) },
		clear:  func(x *fleet) { set(x, engineemulator.Faults{}) },
	}
}

// dead takes the engines and plain endpoints of the victim's data centre down.
func dead(x *fleet, down bool) {
	f := platformemulator.Faults{}
	if down {
		for _, p := range x.plain(victim) {
			f.ServiceDown = append(f.ServiceDown, p.ID)
		}
	}
	x.hoster.Platform.SetFaults(f)
	for _, e := range x.engines(victim) {
		e.SetFaults(engineemulator.Faults{Down: down})
	}
}

func listed(x *fleet, state string) {
	var members []listclient.Member
	for _, e := range x.engines(victim) {
		members = append(members, e.Member)
	}
	for _, m := range append(members, x.plain(victim)...) {
		m.State = state
		x.hoster.Platform.SetMember(m)
	}
}

func unlisted(x *fleet) {
	for _, e := range x.engines(victim) {
		x.hoster.Platform.RemoveMember(e.ID)
	}
	for _, p := range x.plain(victim) {
		x.hoster.Platform.RemoveMember(p.ID)
	}
}

// nodes returns the nodes in the victim's data centre and all others but the
// callers' and operators'.
func nodes(x *fleet) (inside, outside []string) {
	put := func(dataCentre, node string) {
		if dataCentre == x.dataCentre(victim) {
			inside = append(inside, node)
			return
		}
		outside = append(outside, node)
	}
	for _, e := range x.hoster.Engines {
		put(e.DataCentre, e.ID)
	}
	for _, p := range x.hoster.PlainEndpoints {
		put(p.DataCentre, p.ID)
	}
	for _, s := range x.hoster.Settings() {
		put(s.DataCentre, s.Instance)
	}
	return inside, append(outside, "store", "platform")
}

// partition sets or heals the cuts around the victim's data centre.
func partition(x *fleet, set func(from, to string)) {
	inside, outside := nodes(x)
	for _, a := range inside {
		for _, b := range outside {
			set(a, b)
			set(b, a)
		}
	}
}

// race makes three operators change and change back at other instances.
func race(x *fleet) {
	for k := 1; k < instances; k++ {
		go func() {
			for n := range 4 {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				id := fmt.Sprintf("race-%d-%d-%d", k, n, time.Now().UnixMilli())
				_, _ = x.admin(k).SetEndpoint(ctx, administrator.SetOutCall{Name: "engine-08", Out: n%2 == 0, ChangeID: id})
				_, _ = x.admin(k).RotateSessionKey(ctx, administrator.RotateCall{ChangeID: id + "-key"})
				cancel()
			}
		}()
	}
}

func restored(x *fleet) {
	x.change("endpoint back", func(ctx context.Context, a administrator.Administrator, id string) error {
		_, err := a.SetEndpoint(ctx, administrator.SetOutCall{Name: "engine-08", Out: false, ChangeID: id})
		return err
	})
}

// notUsed checks that leaving endpoints get no new work.
func notUsed(x *fleet, injected time.Time) {
	time.Sleep(time.Until(injected.Add(noWorkBound + time.Second)))
	if n := x.workIn(x.dataCentre(victim), injected.Add(noWorkBound)); n > 0 {
		x.t.Errorf("I10: leaving endpoints got %d requests more than %v after the list showed it", n, noWorkBound)
	}
}

func eachEngine(x *fleet, do func(hoster.Engine)) {
	for _, e := range x.engines(victim) {
		do(e)
	}
}

func peerCut(both bool) fault {
	return fault{
		inject: func(x *fleet) {
			x.net.Cut(x.name(victim), x.name(1))
			if both {
				x.net.Cut(x.name(1), x.name(victim))
			}
		},
		clear: func(x *fleet) {
			x.net.Heal(x.name(victim), x.name(1))
			x.net.Heal(x.name(1), x.name(victim))
		},
	}
}

func rows() map[string]fault {
	none := func(*fleet) {}
	return map[string]fault{
		"no fault":            {inject: none, clear: none},
		"store down":          store(storeemulator.Faults{Down: true}),
		"store slow":          store(storeemulator.Faults{Delay: 800}),
		"store answer lost":   store(storeemulator.Faults{LoseWriteAnswers: 4}),
		"frozen watch":        store(storeemulator.Faults{FreezeWatches: true}),
		"stale reads":         store(storeemulator.Faults{StaleReads: true}),
		"rating service down": platform(platformemulator.Faults{RatingDown: true}),
		"plain loses answers": platform(platformemulator.Faults{LoseResponses: 2}),
		"plain slow":          platform(platformemulator.Faults{ServiceDelay: 1500, AnswerDelay: 1500}),
		"answers late":        engine(engineemulator.Faults{FirstTokenDelay: 20_000, MaxStreams: 1}),
		"crossed pieces":      engine(engineemulator.Faults{MismatchAt: 3, MaxStreams: 1}),
		"stream cut":          engine(engineemulator.Faults{CutAt: 5, MaxStreams: 1}),
		"stream closed":       engine(engineemulator.Faults{CutAt: 5, CutWithEOF: true, MaxStreams: 1}),
		"instance killed": {
			inject: func(x *fleet) { x.kill(victim) }, clear: func(x *fleet) { x.revive(victim) }, lost: true,
		},
		"instance paused": {
			inject: func(x *fleet) { x.net.Freeze(x.name(victim)) },
			clear:  func(x *fleet) { x.net.Thaw(x.name(victim)) }, lost: true,
		},
		"instance restarted": {inject: func(x *fleet) { x.kill(victim); x.start(victim) }, clear: none},
		"peer link cut":      peerCut(true),
		"peer link one way":  peerCut(false),
		"data centre cut": {
			inject: func(x *fleet) { partition(x, x.net.Cut) }, clear: func(x *fleet) { partition(x, x.net.Heal) }, lost: true,
		},
		"endpoint dead": {inject: func(x *fleet) { dead(x, true) }, clear: func(x *fleet) { dead(x, false) }},
		"endpoint cold": {
			inject: func(x *fleet) { eachEngine(x, func(e hoster.Engine) { e.TurnCold() }) }, clear: none,
		},
		"endpoint restarted": {
			inject: func(x *fleet) { eachEngine(x, func(e hoster.Engine) { e.Restart(); x.net.ResetConnections(e.ID) }) }, clear: none,
		},
		"endpoint leaving": {
			inject: func(x *fleet) { listed(x, listclient.StateLeaving) },
			clear:  func(x *fleet) { listed(x, listclient.StateLive) },
			verify: notUsed,
		},
		"list lagging": {
			lag:    8 * clock.Second,
			inject: func(x *fleet) { unlisted(x); dead(x, true) },
			clear:  func(x *fleet) { dead(x, false); listed(x, listclient.StateLive) },
		},
		"operators racing": {inject: race, clear: restored},
	}
}
