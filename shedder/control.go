package shedder

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// control holds the share of the work to refuse for one kind of request of a service.
// Kinds differ in their targets, so that what is a shortage for one is none for another.
// Each request adjusts the controls of all kinds with its target: an instance receives few
// requests of one kind, and the queue is the same for all.
type control struct {
	target     clock.Millis
	refused    float64 // share of the work to refuse, 0 to maxRefused
	at         clock.Millis
	excess     float64      // mean by which recent first events exceeded their expected time, in ms
	excessAt   clock.Millis // instant of the last of them
	shortUntil clock.Millis // end of the time for which planningShare holds
	plan       plan
}

// control returns the control of a kind, which it creates if necessary.
func (v *service) control(now clock.Millis, kind string) *control {
	c := v.controls[kind]
	if c == nil {
		c = &control{at: now}
		v.controls[kind] = c
	}
	return c
}

// expectedExcess returns by how much first events exceed their expected time, in ms: the
// least queue of all endpoints, as last reported, is shorter than that of the endpoint
// that is chosen once the request arrives there.
func (c *control) expectedExcess(now clock.Millis) float64 {
	return max(0, c.excess) * math.Exp2(-float64(now-c.excessAt)/float64(excessHalfLife))
}

// planned returns the expected time in ms at which the controller aims: the target, and
// planningShare of it once that has been exceeded.
func (c *control) planned(now clock.Millis, r Request, meanWork float64) float64 {
	target := float64(r.Target)
	if float64(r.Expected)-r.Work+min(r.Work, meanWork) > target && !r.Idle {
		c.shortUntil = now + planFor
	}
	if now < c.shortUntil {
		return planningShare * target
	}
	return target
}

// adjust updates the share of the work to refuse by how much a request of mean work
// exceeds the planned time. The request's own work is replaced by the mean, so that a
// single large request is no shortage.
func (c *control) adjust(now clock.Millis, r Request, planned, meanWork float64) {
	elapsed := max(0, now-c.at)
	step := min(maxStep, elapsed)
	c.refused *= math.Exp2(-float64(elapsed-step) / float64(refusedHalfLife))
	c.at = now
	excess := min(1, max(-1, (float64(r.Expected)-r.Work+min(r.Work, meanWork))/max(1, planned)-1))
	if r.Idle {
		excess = -1
	}
	// Beyond the excess of the workspaces above their share, the others are refused only
	// if the expected time stays too long.
	change := excess
	if c.refused > c.plan.excess {
		change = min(1, excess-generalExcess)
	}
	c.refused = min(maxRefused, max(0, c.refused+change*float64(step)/float64(controlTime)))
}
