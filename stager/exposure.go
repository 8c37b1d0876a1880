package stager

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// exposureReserve is the part of the bound that is planned for. The rest allows for
	// requests that instances have not reported yet.
	exposureReserve = 0.95
	// slackReserve is the same for the slack.
	slackReserve = 0.4
	// shortestRollout is the duration for which the initial share leaves
	// plannedFullTime.
	shortestRollout = 15 * clock.Second
	// plannedFullTime is the time before the deadline for which the earlier shares leave
	// requests, and minFullTime the least time in which the target serves all sessions, so
	// that the roll-out can complete within it.
	plannedFullTime = 1200 * clock.Millis(1)
	minFullTime     = 900 * clock.Millis(1)
	// testedLoad is the part of an endpoint's slots that the full share uses on average
	// where it is served by few endpoints, so that it seldom waits for a slot.
	testedLoad = 1.0 / 3
	// rateSpan is the least time, and rateRequests the least number of requests, over which
	// the rate of requests is measured. Over fewer, it varies by a quarter.
	rateSpan     = 2 * clock.Second
	rateRequests = 150
)

// Exposure bounds the requests that a bad version may serve from the begin of a
// roll-out to its deadline.
type Exposure struct {
	Fraction float64 // of all requests of the service; 0: unbounded
	Slack    float64 // number of requests allowed in addition
}

// initialShare returns the share of the sessions that the target serves first. It is
// the same on all instances.
func (x Exposure) initialShare() float64 {
	if x.Fraction <= 0 {
		return maxInitialShare
	}
	full := float64(plannedFullTime) / float64(shortestRollout)
	return min(maxInitialShare, max(minInitialShare, (x.Fraction-full)/(1-full)))
}

// middleShare returns the share of the sessions that the target serves from a time on in
// the second half of a roll-out.
func (x Exposure) middleShare(duration, from clock.Millis) float64 {
	if x.Fraction <= 0 {
		return maxMiddleShare
	}
	initial := x.initialShare()
	until := duration - plannedFullTime
	spare := exposureReserve*x.Fraction*float64(duration) - initial*float64(from) - float64(plannedFullTime)
	return min(maxMiddleShare, max(initial, spare/float64(max(1, until-from))))
}

// fullTime returns how long before the deadline the target may serve all sessions. left
// is the time until the deadline; target and old are the requests sent so far, and rate
// is that of all requests per ms, 0 if it is not known.
func (x Exposure) fullTime(left clock.Millis, target, old int, rate float64) clock.Millis {
	switch {
	case x.Fraction <= 0:
		return math.MaxInt32
	case rate <= 0 || old == 0:
		return minFullTime
	}
	all := float64(target + old)
	share := float64(target) / all
	allowed := exposureReserve*x.Fraction*(all+rate*float64(left)) + slackReserve*x.Slack
	spare := allowed - float64(target) - share*rate*float64(left)
	return max(minFullTime, clock.Millis(spare/(rate*(1-share))))
}

// demand measures the rate of requests to a service.
type demand struct {
	samples []demandSample // of the time over which the rate is measured, and one before it
}

type demandSample struct {
	at   clock.Millis
	sent int
}

func (d *demand) observe(at clock.Millis, sent int) {
	d.samples = append(d.samples, demandSample{at, sent})
	for len(d.samples) > 2 && at-d.samples[1].at >= rateSpan && sent-d.samples[1].sent >= rateRequests {
		d.samples = d.samples[1:]
	}
}

// rate returns the requests per ms: since the begin or in the last samples, whichever
// is higher. It is 0 until that time has passed on this instance, which then has the
// reports of the others.
func (d *demand) rate() float64 {
	if len(d.samples) == 0 {
		return 0
	}
	first, last := d.samples[0], d.samples[len(d.samples)-1]
	span := last.at - first.at
	if span < rateSpan {
		return 0
	}
	return max(float64(last.sent)/float64(last.at), float64(last.sent-first.sent)/float64(span))
}
