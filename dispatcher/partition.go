package dispatcher

import (
	"rosemaryarch.example/rosemaryarch/balancer"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/partitioner"
)

const (
	// longShare is the share of the route's EventGap from which the predicted prefill
	// time of a prompt makes it long. The rest is for decode steps, for slower endpoints
	// and for prompts that are queued with it.
	longShare = 0.45
	// partitionInterval is the time in ms for which the reserved endpoints are used.
	// Heartbeats bring new sums less often than this.
	partitionInterval = 100
	// gapExpiry is the time in ms for which the EventGap of a route counts after a request
	// of it.
	gapExpiry = 10 * clock.Second
	// fadeFrom and fadeTo bound the range of mean queued work, in gaps, in which the
	// groups cease to matter. In an overload streams are late with long prompts or
	// without, and two separate groups queue more than one: with half of the engines
	// lost, 13.7% of the streams were late in the simulation with a constant cost,
	// 10.8% without reserved endpoints and 9.7% with this range.
	fadeFrom, fadeTo = 0.25, 0.5
)

// partition holds the endpoints of one service that read long prompts.
type partition struct {
	*partitioner.Partitioner
	gap       clock.Millis // least EventGap of the service's routes that were requested recently
	gapAt     clock.Millis // time of the latest request of a route with that gap
	updatedAt clock.Millis // 0: never
}

// applyPartition sets what the choice of an endpoint depends on where prompts are
// long for the service's streams. The lock must be held.
func (d *Dispatcher) applyPartition(now clock.Millis, q *criteria, query *balancer.Query, list []balancer.Candidate) {
	q.long = false
	p := d.partitions[q.service]
	if !q.isEngine() || p == nil && q.eventGap <= 0 {
		return
	}
	if p == nil {
		p = &partition{Partitioner: partitioner.New(q.service, partitioner.Default())}
		d.partitions[q.service] = p
	}
	p.observeGap(now, q.eventGap)
	if p.gap <= 0 {
		return
	}
	if q.eventGap > 0 {
		expected := d.prefillTime(q, q.prompt.tokens, meanCacheHit*q.prompt.shared)
		q.long = expected > longShare*float64(q.eventGap)
	}
	if p.updatedAt == 0 || now-p.updatedAt >= partitionInterval {
		d.updatePartition(now, q.service, p)
	}
	if p.Count() == 0 {
		return
	}
	query.Gap, query.Long = float64(p.gap), q.long
	query.GroupCost = groupCost(query.Gap, list)
	local := false
	for i := range list {
		list[i].Reserved = p.Reserved(list[i].ID)
		local = local || list[i].Local
	}
	// A data centre with too few endpoints to reserve any keeps its long prompts: bytes
	// between data centres are billed.
	if local && p.CountIn(d.options.DataCentre) == 0 {
		query.Long = false
	}
}

// observeGap records the EventGap of a request's route; 0: it has none. The gap that was
// recorded ends with the configuration that states it.
func (p *partition) observeGap(now, gap clock.Millis) {
	if now-p.gapAt > gapExpiry {
		p.gap = 0
	}
	if gap > 0 && (p.gap <= 0 || gap <= p.gap) {
		p.gap, p.gapAt = gap, now
	}
}

// groupCost returns the work in ms that an endpoint of the other group must save: the
// gap, since streams that wait longer than that are late in either group. It falls to 0
// where the mean work queued at an endpoint rises from fadeFrom to fadeTo gaps.
func groupCost(gap float64, list []balancer.Candidate) float64 {
	mean := 0.0
	for i := range list {
		mean += list[i].Work / float64(len(list))
	}
	return gap * min(1, max(0, (fadeTo-mean/gap)/(fadeTo-fadeFrom)))
}

// updatePartition chooses the reserved endpoints of a service anew. The lock must be
// held.
func (d *Dispatcher) updatePartition(now clock.Millis, service string, p *partition) {
	p.updatedAt = now
	demand := d.options.PeerRates(service).Long
	if t := d.throttlers[service]; t != nil {
		demand += t.Long(now)
	}
	var usable []partitioner.Endpoint
	for _, e := range d.options.Catalog.Snapshot(now).Service(service) {
		if e.ColdUntil <= now && !d.options.Evacuated(e.DataCentre) {
			usable = append(usable, partitioner.Endpoint{ID: e.ID, DataCentre: e.DataCentre})
		}
	}
	if !p.Update(now, demand, usable) {
		return
	}
	d.options.Meter.SetGauge("long_prompt_endpoints/"+service, float64(p.Count()))
	d.options.Logger.Log("long_prompt_endpoints", logger.Text("service", service), logger.Number("count", p.Count()),
		logger.Number("demand", demand))
}
