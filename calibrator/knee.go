package calibrator

import "rosemaryarch.example/rosemaryarch/clock"

const (
	// kneeHalfLife is the half-life of the samples by number of requests. An instance
	// sends an endpoint a request in three to ten seconds, so that a shorter one would
	// never leave enough of them.
	kneeHalfLife = 10 * clock.Minute
	// kneeSamples is the number of samples on each side of the knee from which it
	// limits the requests.
	kneeSamples = 30
	// kneeRise is the ratio of the durations beyond the knee to those with few
	// requests, that is with up to a quarter of the slots.
	kneeRise   = 1.5
	fewShare   = 4
	fewSamples = 5 // samples with few requests, and next to the knee, below which there is none
	maxLevels  = 256
	// kneeInterval is the time between two computations of the knee.
	kneeInterval = clock.Second
)

// knee holds the durations at an endpoint by the number of requests in progress.
type knee struct {
	levels     []average // the index is the number of requests less one
	computedAt clock.Millis
	limit      int     // 0: none
	confidence float64 // 0 to 1
}

// add adds a sample with a number of requests in progress, including its own.
func (k *knee) add(now clock.Millis, running int, ratio float64) {
	if running < 1 || running > maxLevels {
		return
	}
	for len(k.levels) < running {
		k.levels = append(k.levels, average{})
	}
	k.levels[running-1].add(now, kneeHalfLife, ratio, 1)
}

// update computes the limit of an endpoint with a number of slots.
func (k *knee) update(now clock.Millis, slots int) {
	if now-k.computedAt < kneeInterval && k.computedAt > 0 {
		return
	}
	k.computedAt, k.limit, k.confidence = now, 0, 0
	few := k.pool(now, 0, max(1, slots/fewShare))
	if few.weight < fewSamples {
		return
	}
	for n := 1; n < min(slots, len(k.levels)); n++ {
		low, high := k.pool(now, 0, n), k.pool(now, n, len(k.levels))
		least := min(low.weight, high.weight)
		if least >= kneeSamples && high.mean() > kneeRise*few.mean() && k.next(now, n).mean() > kneeRise*few.mean() {
			k.limit, k.confidence = n, least/(least+kneeSamples)
			return
		}
	}
}

// pool returns the samples with more than from requests and at most to.
func (k *knee) pool(now clock.Millis, from, to int) average {
	var sum average
	for i := from; i < min(to, len(k.levels)); i++ {
		l := &k.levels[i]
		d := decay(now-l.at, kneeHalfLife)
		sum.sum += l.sum * d
		sum.weight += l.weight * d
	}
	return sum
}

// next returns the samples with the least numbers of requests above n that suffice
// for a mean.
func (k *knee) next(now clock.Millis, n int) average {
	sum := average{}
	for to := n + 1; to <= len(k.levels) && sum.weight < fewSamples; to++ {
		sum = k.pool(now, n, to)
	}
	return sum
}
