package heartbeater

import (
	"cmp"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// MaxDemands is the number of workspaces over all services, those with the largest
	// demand, that a message lists. It bounds the size of a heartbeat.
	MaxDemands = 32
	// minDemandShare is the share of the demand of a data centre for a service above
	// which a workspace is named to other data centres, traffic to which is billed.
	minDemandShare = 1.0 / 8
	// maxSummaryInstances is the number of instances of a data centre above which a
	// summary is ignored as impossible.
	maxSummaryInstances = 10_000
)

// maxDemandRate is the rate from which a report is ignored as impossible: an engine does
// 1 ms of work per ms, and a data centre has a few hundred.
const maxDemandRate = 1e6

// Demand is the demand of a workspace for a service.
type Demand struct {
	_         struct{} `cbor:",toarray"`
	Service   uint64   // hash of the service's name
	Workspace uint64   // hash of the workspace's name
	Rate      float32  // work in ms per ms
}

// LargestDemands returns the MaxDemands largest demands of all services. It drops rates that
// are not positive numbers below maxDemandRate.
func LargestDemands(list []Demand) []Demand {
	list = slices.DeleteFunc(list, func(d Demand) bool { return !(d.Rate > 0 && d.Rate < maxDemandRate) })
	slices.SortStableFunc(list, func(x, y Demand) int { return cmp.Compare(y.Rate, x.Rate) })
	return list[:min(len(list), MaxDemands)]
}

// receivedDemands returns what is kept of the demands in a message. It is nil only if the
// message has none: a sender whose rates are all impossible still reports.
func receivedDemands(list []Demand) []Demand {
	if len(list) == 0 {
		return nil
	}
	return LargestDemands(slices.Clone(list))
}

// demandSums returns the workspaces whose demand, over the live neighbours and this
// instance, exceeds minDemandShare of that of the data centre. The lock is held.
func (h *Heartbeater) demandSums(now clock.Millis, own []Demand) []Demand {
	type key struct{ service, workspace uint64 }
	sums, totals := make(map[key]float32), make(map[uint64]float32)
	add := func(list []Demand) {
		for _, d := range list {
			sums[key{d.Service, d.Workspace}] += d.Rate
			totals[d.Service] += d.Rate
		}
	}
	add(own)
	for p := range h.reportingNeighbours(now) {
		add(p.demands)
	}
	var list []Demand
	for k, rate := range sums {
		if rate > minDemandShare*totals[k.service] {
			list = append(list, Demand{Service: k.service, Workspace: k.workspace, Rate: rate})
		}
	}
	return LargestDemands(list)
}

// DemandSum is the demand for a service of several instances, by hash of the workspace.
type DemandSum struct {
	Instances int
	Rates     map[uint64]float64
}

// Demands returns the demand for a service, given by the hash of its name, that live
// neighbours report, and that of the largest workspaces of each other data centre.
// unknown is the number of neighbours that report none, such as those of a build that
// has no such reports.
func (h *Heartbeater) Demands(service uint64) (neighbours DemandSum, others []DemandSum, unknown int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Clock.Now()
	neighbours.Rates = make(map[uint64]float64)
	for p := range h.reportingNeighbours(now) {
		if p.demands == nil {
			unknown++
			continue
		}
		neighbours.Instances++
		addDemands(neighbours.Rates, p.demands, service)
	}
	for _, s := range h.summaries {
		if now-s.receivedAt >= remoteTimeout {
			continue
		}
		sum := DemandSum{Instances: s.Instances, Rates: make(map[uint64]float64)}
		addDemands(sum.Rates, s.demands, service)
		others = append(others, sum)
	}
	return neighbours, others, unknown
}

func addDemands(rates map[uint64]float64, list []Demand, service uint64) {
	for _, d := range list {
		if d.Service == service {
			rates[d.Workspace] += float64(d.Rate)
		}
	}
}

// Reporting returns the number of live neighbours that have reported their loads, and
// that of all live ones.
func (h *Heartbeater) Reporting() (reporting, alive int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Clock.Now()
	for p := range h.peers.ordered() {
		if p.member.DataCentre == h.options.Self.DataCentre && h.isAlive(now, p) {
			alive++
			if p.reported {
				reporting++
			}
		}
	}
	return reporting, alive
}
