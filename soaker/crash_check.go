package soaker

import (
	"fmt"
	"math"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

const (
	// knownCrashes is the number of crashes by a part of prompts after which, from
	// contactTime later on, at most maxLateArrivals requests with it may reach endpoints.
	knownCrashes    = 5
	maxLateArrivals = 3
	// soundTime is the time after the last of these crashes from which sound requests
	// must be served at least at the share minSoundRatio of that before the crashes.
	soundTime     = 6 * clock.Second
	minSoundRatio = 0.5
	// minSoundRequests is the number of requests that the comparison needs of both times.
	minSoundRequests = 20
)

// recordPrompt adds a request that crashes endpoints to one of the checker's lists.
func (c *checker) recordPrompt(list *[]execution, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, execution{id: id, at: c.clock.Now()})
}

// share counts requests and those of them that were served.
type share struct{ served, sent int }

// checkPrompts checks that requests that crash endpoints are kept from them once they
// are known, and that sound requests, which share all their other parts, are served.
func (c *checker) checkPrompts(addViolation func(string, ...any)) {
	i := slices.IndexFunc(c.faultPeriods, func(p *faultPeriod) bool { return p.prompts })
	if i < 0 {
		return
	}
	period, known := c.faultPeriods[i], clock.Millis(math.MaxInt64/2)
	if len(c.crashes) >= knownCrashes {
		known = c.crashes[knownCrashes-1].at
	}
	late := c.arrivalsFrom(known + contactTime)
	before, after := c.soundRequests(0, period.from), c.soundRequests(known+soundTime, period.to)
	c.prompts = fmt.Sprintf("%d requests that crash endpoints arrived, %d of them later than %d ms after crash %d of %d; "+
		"of the sound ones, %d of %d were served before and %d of %d later than %d ms after that crash", len(c.arrivals),
		late, contactTime, knownCrashes, len(c.crashes), before.served, before.sent, after.served, after.sent, soundTime)
	if len(c.arrivals) == 0 {
		addViolation("SOAK: no request that crashes endpoints reached one")
	}
	if late > maxLateArrivals {
		addViolation("CRASH: %s", c.prompts)
	}
	if min(before.sent, after.sent) >= minSoundRequests &&
		float64(after.served*before.sent) < minSoundRatio*float64(before.served*after.sent) {
		addViolation("SOUND: %s", c.prompts)
	}
}

// arrivalsFrom counts the arrivals of requests that crash endpoints from an instant
// on, but for those from an instance that was ended, suspended or cut off in the
// contactTime before. A request that an instance sends again arrives again.
func (c *checker) arrivalsFrom(from clock.Millis) (n int) {
	for _, r := range c.arrivals {
		if r.at >= from && c.calm(r.at, r.at, func(p *faultPeriod) bool {
			return p.instance != "" && p.instance == c.requests[r.id].instance
		}) {
			n++
		}
	}
	return n
}

// soundRequests counts the sound model requests that were sent between two instants,
// but for those during other faults and those with keys taken away.
func (c *checker) soundRequests(from, to clock.Millis) (n share) {
	for _, a := range c.answers {
		q := c.requests[a.id]
		revoking := c.keyState(q.key).revoking
		if q.sent < from || q.sent >= to || q.kind != matcher.Stream || q.crashes || (revoking != 0 && revoking <= a.ended) ||
			!c.calm(q.sent, a.ended, func(p *faultPeriod) bool { return !p.prompts }) {
			continue
		}
		n.sent++
		if a.err == nil && a.status == 200 {
			n.served++
		}
	}
	return n
}
