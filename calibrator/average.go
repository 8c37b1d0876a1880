package calibrator

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// priorWeight is the weight, in samples, of the value from which an average starts.
// Single first events differ from their prediction by a third and more, so that two
// or three slow ones in a row are common.
const priorWeight = 8

// average is an exponentially weighted average of samples.
type average struct {
	sum    float64 // of the samples, decayed to at
	weight float64 // number of the samples, decayed to at
	at     clock.Millis
}

func decay(age, halfLife clock.Millis) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

func (a *average) add(now, halfLife clock.Millis, sum float64, count int) {
	d := decay(now-a.at, halfLife)
	a.sum, a.weight, a.at = a.sum*d+sum, a.weight*d+float64(count), now
}

// mean returns the mean of the samples, or 1 without any.
func (a average) mean() float64 {
	if a.weight == 0 {
		return 1
	}
	return a.sum / a.weight
}

// trust returns the share, 0 to 1, to which the mean counts beside a prior value. It
// falls with the half-life while there are no new samples.
func (a average) trust(now, halfLife clock.Millis) float64 {
	return a.weight / (a.weight + priorWeight) * decay(now-a.at, halfLife)
}

const (
	// minBaseline is the number of observations from which a baseline is used.
	minBaseline = 8
	// maxBaseline is the number of observations over which a baseline averages.
	maxBaseline = 200
	// paceSlope is the share by which each running request lengthens a decode step
	// of an engine, until it is known better.
	paceSlope = 0.01
	// slopeWeight is the weight of paceSlope: the variance of the number of running
	// requests at which the observed slope counts as much.
	slopeWeight = 4
	// maxRatio bounds one sample, since a single response may be delayed by anything.
	maxRatio = 5
	// minRatio is the ratio below which a duration says nothing: events that arrive
	// together have been held up on the way.
	minRatio = 0.2
)

// baseline is the mean of what this instance observes at all endpoints, as a linear
// function of the number of running requests.
type baseline struct {
	count                     float64
	value, running            float64 // means
	covariance, runningSpread float64 // sums of products of differences from the means, over the count
}

// at returns the expected value with a number of running requests, or 0 if it is
// not known yet.
func (b *baseline) at(running float64) float64 {
	if b.count < minBaseline {
		return 0
	}
	slope := (b.covariance + slopeWeight*paceSlope*b.value) / (b.runningSpread + slopeWeight)
	return max(b.value/2, b.value+max(0, slope)*(running-b.running))
}

func (b *baseline) add(running, value float64) {
	if expected := b.at(running); expected > 0 {
		value = min(value, maxRatio*expected)
	}
	b.count = min(maxBaseline, b.count+1)
	share := 1 / b.count
	dr, dv := running-b.running, value-b.value
	b.running += share * dr
	b.value += share * dv
	b.covariance = (1 - share) * (b.covariance + share*dr*dv)
	b.runningSpread = (1 - share) * (b.runningSpread + share*dr*dr)
}
