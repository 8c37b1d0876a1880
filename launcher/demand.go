package launcher

import (
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/heartbeater"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/shedder"
)

// loadsUnknownFor is the time after the start after which the loads of neighbours count
// as known, whatever has been reported: several heartbeats have been due, and a
// partitioned instance must not assume the load of others for good.
const loadsUnknownFor = 3 * clock.Second

// demands returns the demand of the workspaces on this instance for the neighbours.
func (l *Launcher) demands() []heartbeater.Demand {
	var list []heartbeater.Demand
	l.dispatcher.Demand(func(service, workspace string, rate float64) {
		list = append(list, heartbeater.Demand{
			Service: matcher.Hash("service", service), Workspace: matcher.Hash("workspace", workspace), Rate: float32(rate),
		})
	})
	return heartbeater.LargestDemands(list)
}

// peerDemand returns the demand of other instances for a service.
func (l *Launcher) peerDemand(service string) shedder.Demand {
	neighbours, others, unknown := l.heartbeater.Demands(matcher.Hash("service", service))
	d := shedder.Demand{Rates: neighbours.Rates, Reporting: neighbours.Instances, Unknown: unknown}
	for _, o := range others {
		d.Unknown += o.Instances
		d.Sums = append(d.Sums, shedder.Sum{Instances: o.Instances, Rates: o.Rates})
	}
	return d
}

// neighbours returns the number of instances in this data centre, and whether at least
// half of the live ones have reported their loads since the start.
func (l *Launcher) neighbours() (instances int, reported bool) {
	if l.loadsKnown.Load() {
		return 0, true
	}
	reporting, alive := l.heartbeater.Reporting()
	if alive > 0 && 2*reporting >= alive || l.clock.Now()-l.startedAt > loadsUnknownFor {
		l.loadsKnown.Store(true)
		return 0, true
	}
	return len(l.heartbeater.InstancesIn(l.settings.DataCentre)), false
}
