package dispatcher

import (
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/throttler"
)

const (
	// throttleSpan is the averaging time of the demand for larger models. It is
	// longer than the gaps between clustered arrivals and shorter than a burst.
	throttleSpan = 3 * clock.Second
	// throttleShare is the share of an engine's time that prefill may take. At
	// the deployments' usual load the share is about 0.4.
	throttleShare = 0.48
)

// throttlerFor returns the throttler of a service. The lock must be held.
func (d *Dispatcher) throttlerFor(service string) *throttler.Throttler {
	t := d.throttlers[service]
	if t == nil {
		t = throttler.New(throttler.Options{Span: throttleSpan, Share: throttleShare})
		d.throttlers[service] = t
	}
	return t
}

// escalationShare records that a request of the given priority rank asks for a
// larger model with the given work in ms, and returns the share of such requests
// for which there is capacity.
func (d *Dispatcher) escalationShare(now clock.Millis, q *criteria, rank int, work float64) float64 {
	instances := d.options.Ready()
	peers := d.options.PeerRates(q.service)
	endpoints := float64(q.eligible) * d.meanSpeed(now, q.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.throttlerFor(q.service)
	t.RecordDemand(now, rank, work)
	return t.AdmittedShare(now, rank, peers, endpoints, instances)
}

// meanSpeed returns the mean speed of a service's endpoints, of which that of the
// median is 1.
func (d *Dispatcher) meanSpeed(now clock.Millis, service string) float64 {
	sum, count := 0.0, 0
	for _, e := range d.options.Catalog.Snapshot(now).Service(service) {
		if !d.options.Evacuated(e.DataCentre) {
			sum += 1 / d.speed(now, e).Factor
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count)
}

// Rates calls each with the rates of this instance, in ms of work per ms, for
// every service with escalation to larger models or long prompts.
func (d *Dispatcher) Rates(each func(service string, base, demand, long float64)) {
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, t := range d.throttlers {
		base, demand := t.Rates(now)
		each(service, base, demand, t.Long(now))
	}
}
