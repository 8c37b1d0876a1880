package dispatcher

import (
	"rosemaryarch.example/rosemaryarch/capper"
	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/slowstarter"
)

// limitWait returns the time until this instance may send to an endpoint by the rate
// that the endpoint states; 0: now.
func (d *Dispatcher) limitWait(now clock.Millis, e *cataloger.State) clock.Millis {
	return d.options.Capper.Wait(now, matcher.Hash("endpoint", e.ID), d.sharersOf(e))
}

// admitLimited reports whether the send is within the rate that the endpoint states,
// and counts it if so.
func (d *Dispatcher) admitLimited(now clock.Millis, e *cataloger.State) bool {
	return d.options.Capper.Allow(now, matcher.Hash("endpoint", e.ID), d.sharersOf(e))
}

// sharersOf returns a function that returns the instances that divide the rate of an
// endpoint. It is called for endpoints with a limit only.
func (d *Dispatcher) sharersOf(e *cataloger.State) func() capper.Instances {
	return func() capper.Instances { return d.options.Sharers(e.DataCentre) }
}

// coldAllowed reports whether this instance may send to a cold endpoint at all
// and has not used up its share of the endpoint's rate.
func (d *Dispatcher) coldAllowed(now clock.Millis, q *criteria, e *cataloger.State) bool {
	if e.ColdUntil <= now || q.config == nil || q.config.WarmupRate <= 0 {
		return true
	}
	return e.DataCentre == d.options.DataCentre && !d.options.SlowStarter.Full(now, e.ID, d.coldShare(q))
}

// coldShare returns the requests per second that this instance may send to one
// cold endpoint.
func (d *Dispatcher) coldShare(q *criteria) int {
	bounds := d.options.Bounds()
	senders, position := d.options.ColdSenders()
	total := q.config.WarmupRate*bounds.WarmupOvershoot + bounds.WarmupSlack - coldReserve
	return slowstarter.Share(total, senders, position)
}

// admitCold reports whether the send is within the share for a cold endpoint,
// and counts it. Where the service limits the rate, sends to warm endpoints are
// counted too, in case the endpoint turns out to be cold.
func (d *Dispatcher) admitCold(now clock.Millis, q *criteria, e *cataloger.State) bool {
	if q.config == nil || q.config.WarmupRate <= 0 {
		return true
	}
	if e.ColdUntil > now {
		return d.options.SlowStarter.Allow(now, e.ID, d.coldShare(q))
	}
	d.options.SlowStarter.Record(now, e.ID)
	return true
}
