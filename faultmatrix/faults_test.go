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

// targetInstance is the index of the instance that faults apply to, or whose data centre
// and endpoints they apply to. It gets the first request of most steps.
const targetInstance = 0

// fault is a fault of the outside systems, the network or the instances, which is a row
// of the matrix.
type fault struct {
	inject     func(fleet *fleet)
	clear      func(fleet *fleet)
	check      func(fleet *fleet, injected time.Time) // called before clear, if not nil
	listDelay  clock.Millis                           // of the instance list, for the whole run
	targetDown bool                                   // the target instance does not serve while the fault lasts
}

// storeFault returns a fault of the object API.
func storeFault(faults storeemulator.Faults) fault {
	return fault{
		inject: func(fleet *fleet) { fleet.hoster.Store.SetFaults(faults) },
		clear:  func(fleet *fleet) { fleet.hoster.Store.SetFaults(storeemulator.Faults{}) },
	}
}

// platformFault returns a fault of the platform, which includes the plain service and
// the rating service.
func platformFault(faults platformemulator.Faults) fault {
	return fault{
		inject: func(fleet *fleet) { fleet.hoster.Platform.SetFaults(faults) },
		clear:  func(fleet *fleet) { fleet.hoster.Platform.SetFaults(platformemulator.Faults{}) },
	}
}

// engineFault returns a fault of every engine in the target's data centre.
func engineFault(faults engineemulator.Faults) fault {
	set := func(fleet *fleet, faults engineemulator.Faults) {
		for _, e := range fleet.engines(targetInstance) {
			e.SetFaults(faults)
		}
	}
	return fault{
		inject: func(fleet *fleet) { set(fleet, faults) },
		clear:  func(fleet *fleet) { set(fleet, engineemulator.Faults{}) },
	}
}

// setEndpointsDown stops or starts all endpoints in the target's data centre.
func setEndpointsDown(fleet *fleet, down bool) {
	faults := platformemulator.Faults{}
	if down {
		for _, p := range fleet.plainEndpoints(targetInstance) {
			faults.ServiceDown = append(faults.ServiceDown, p.ID)
		}
	}
	fleet.hoster.Platform.SetFaults(faults)
	for _, e := range fleet.engines(targetInstance) {
		e.SetFaults(engineemulator.Faults{Down: down})
	}
}

// setListState sets the state of all endpoints in the target's data centre in the
// instance list of the platform.
func setListState(fleet *fleet, state string) {
	var members []listclient.Member
	for _, e := range fleet.engines(targetInstance) {
		members = append(members, e.Member)
	}
	for _, m := range append(members, fleet.plainEndpoints(targetInstance)...) {
		m.State = state
		fleet.hoster.Platform.SetMember(m)
	}
}

// removeFromList removes all endpoints in the target's data centre from the instance
// list of the platform.
func removeFromList(fleet *fleet) {
	for _, e := range fleet.engines(targetInstance) {
		fleet.hoster.Platform.RemoveMember(e.ID)
	}
	for _, p := range fleet.plainEndpoints(targetInstance) {
		fleet.hoster.Platform.RemoveMember(p.ID)
	}
}

// splitNodes returns the network nodes in the target's data centre, and all others except
// that of the callers and operators.
func splitNodes(fleet *fleet) (inside, outside []string) {
	add := func(dataCentre, node string) {
		if dataCentre == fleet.dataCentre(targetInstance) {
			inside = append(inside, node)
			return
		}
		outside = append(outside, node)
	}
	for _, e := range fleet.hoster.Engines {
		add(e.DataCentre, e.ID)
	}
	for _, p := range fleet.hoster.PlainEndpoints {
		add(p.DataCentre, p.ID)
	}
	for _, s := range fleet.hoster.Settings() {
		add(s.DataCentre, s.Instance)
	}
	return inside, append(outside, "store", "platform")
}

// forEachOutsideLink calls set for both directions of each link between the target's
// data centre and the other nodes.
func forEachOutsideLink(fleet *fleet, set func(from, to string)) {
	inside, outside := splitNodes(fleet)
	for _, a := range inside {
		for _, b := range outside {
			set(a, b)
			set(b, a)
		}
	}
}

// changeConcurrently makes three operators change and revert settings at the same time,
// each at a different instance.
func changeConcurrently(fleet *fleet) {
	for k := 1; k < instanceCount; k++ {
		go func() {
			for n := range 4 {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				id := fmt.Sprintf("race-%d-%d-%d", k, n, time.Now().UnixMilli())
				_, _ = fleet.admin(k).SetEndpoint(ctx, administrator.SetOutCall{Name: "engine-08", Out: n%2 == 0, ChangeID: id})
				_, _ = fleet.admin(k).RotateSessionKey(ctx, administrator.RotateCall{ChangeID: id + "-key"})
				cancel()
			}
		}()
	}
}

// restoreEndpoint reverts the changes of changeConcurrently.
func restoreEndpoint(fleet *fleet) {
	fleet.change("endpoint back", func(ctx context.Context, a administrator.Administrator, id string) error {
		_, err := a.SetEndpoint(ctx, administrator.SetOutCall{Name: "engine-08", Out: false, ChangeID: id})
		return err
	})
}

// checkNoRequests checks that the endpoints in the target's data centre get no new
// requests after removalBound.
func checkNoRequests(fleet *fleet, injected time.Time) {
	time.Sleep(time.Until(injected.Add(removalBound + time.Second)))
	if n := fleet.requestsIn(fleet.dataCentre(targetInstance), injected.Add(removalBound)); n > 0 {
		fleet.t.Errorf("I10: leaving endpoints got %d requests more than %v after they were listed as leaving",
			n, removalBound)
	}
}

// forEachEngine calls f for each engine in the target's data centre.
func forEachEngine(fleet *fleet, f func(hoster.Engine)) {
	for _, e := range fleet.engines(targetInstance) {
		f(e)
	}
}

// peerLinkCut returns a fault that cuts the link from the target to another instance, in
// one or both directions.
func peerLinkCut(both bool) fault {
	return fault{
		inject: func(fleet *fleet) {
			fleet.network.Cut(fleet.name(targetInstance), fleet.name(1))
			if both {
				fleet.network.Cut(fleet.name(1), fleet.name(targetInstance))
			}
		},
		clear: func(fleet *fleet) {
			fleet.network.Heal(fleet.name(targetInstance), fleet.name(1))
			fleet.network.Heal(fleet.name(1), fleet.name(targetInstance))
		},
	}
}

// faults returns the faults by name.
func faults() map[string]fault {
	none := func(*fleet) {}
	return map[string]fault{
		"no fault":            {inject: none, clear: none},
		"store down":          storeFault(storeemulator.Faults{Down: true}),
		"store slow":          storeFault(storeemulator.Faults{Delay: 800}),
		"store answer lost":   storeFault(storeemulator.Faults{LoseWriteAnswers: 4}),
		"frozen watch":        storeFault(storeemulator.Faults{FreezeWatches: true}),
		"stale reads":         storeFault(storeemulator.Faults{StaleReads: true}),
		"rating service down": platformFault(platformemulator.Faults{RatingDown: true}),
		"plain loses answers": platformFault(platformemulator.Faults{LoseResponses: 2}),
		"plain slow":          platformFault(platformemulator.Faults{ServiceDelay: 1500, AnswerDelay: 1500}),
		"answers late":        engineFault(engineemulator.Faults{FirstTokenDelay: 20_000, MaxStreams: 1}),
		"crossed pieces":      engineFault(engineemulator.Faults{MismatchAt: 3, MaxStreams: 1}),
		"stream cut":          engineFault(engineemulator.Faults{CutAt: 5, MaxStreams: 1}),
		"stream closed":       engineFault(engineemulator.Faults{CutAt: 5, CutWithEOF: true, MaxStreams: 1}),
		"instance killed": {
			inject: func(fleet *fleet) { fleet.kill(targetInstance) },
			clear:  func(fleet *fleet) { fleet.startIfKilled(targetInstance) }, targetDown: true,
		},
		"instance paused": {
			inject: func(fleet *fleet) { fleet.network.Freeze(fleet.name(targetInstance)) },
			clear:  func(fleet *fleet) { fleet.network.Thaw(fleet.name(targetInstance)) }, targetDown: true,
		},
		"instance restarted": {
			inject: func(fleet *fleet) { fleet.kill(targetInstance); fleet.start(targetInstance) }, clear: none},
		"peer link cut":     peerLinkCut(true),
		"peer link one way": peerLinkCut(false),
		"data centre cut": {
			inject: func(fleet *fleet) { forEachOutsideLink(fleet, fleet.network.Cut) },
			clear:  func(fleet *fleet) { forEachOutsideLink(fleet, fleet.network.Heal) }, targetDown: true,
		},
		"endpoint dead": {
			inject: func(fleet *fleet) { setEndpointsDown(fleet, true) },
			clear:  func(fleet *fleet) { setEndpointsDown(fleet, false) }},
		"endpoint cold": {
			inject: func(fleet *fleet) { forEachEngine(fleet, func(e hoster.Engine) { e.MakeCold() }) }, clear: none,
		},
		"endpoint restarted": {
			inject: func(fleet *fleet) {
				forEachEngine(fleet, func(e hoster.Engine) { e.Restart(); fleet.network.ResetConnections(e.ID) })
			}, clear: none,
		},
		"endpoint leaving": {
			inject: func(fleet *fleet) { setListState(fleet, listclient.StateLeaving) },
			clear:  func(fleet *fleet) { setListState(fleet, listclient.StateLive) },
			check:  checkNoRequests,
		},
		"list lagging": {
			listDelay: 8 * clock.Second,
			inject:    func(fleet *fleet) { removeFromList(fleet); setEndpointsDown(fleet, true) },
			clear:     func(fleet *fleet) { setEndpointsDown(fleet, false); setListState(fleet, listclient.StateLive) },
		},
		"operators racing": {inject: changeConcurrently, clear: restoreEndpoint},
	}
}
