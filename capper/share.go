package capper

import (
	"hash/fnv"
	"io"
	"strconv"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// window is the time over which a rate is enforced. The bound applies to arrivals
	// in any 4 s; transit times differ by some ms.
	window = 4200 * clock.Millis(1)
	// If no response has been heard of for expiry, an instance without a share may send
	// one request to learn whether the limit still holds. Instances with a later
	// position wait positionExpiry longer for each one before them, so that the first
	// response reaches the others in time.
	expiry         = 15 * clock.Second
	positionExpiry = 250 * clock.Millis(1)
	// maxSends keeps a very large rate within the range of int.
	maxSends = 1e9
	// shareAge is the time for which a computed share is used.
	shareAge = 500 * clock.Millis(1)
)

// Instances describes the instances that divide the rate of an endpoint among
// them.
type Instances struct {
	Self  string
	Names []string // of the instances with a share
	// Others is the number of instances without a share, if Self is one of them.
	Others int
}

// quota is the part of a rate that belongs to this instance.
type quota struct {
	sends    int          // that the instance may make within window
	position int          // of the instance in the order of the endpoint
	at       clock.Millis // instant of the computation; 0: not computed for the present rate
}

// Share returns the number of requests that an instance may send to an endpoint
// within 4.2 s, of a rate in requests per second that all instances divide, and its
// position among them. The shares add up to the rate, but at least to one request.
// Small rates are divided among the first instances of an order that differs by
// endpoint and changes little when instances are added.
func Share(rate float64, endpoint uint64, in Instances) (sends, position int) {
	total := max(1, int(min(rate*float64(window)/float64(clock.Second), maxSends)))
	own, found := weight(endpoint, in.Self), false
	for _, name := range in.Names {
		switch w := weight(endpoint, name); {
		case name == in.Self:
			found = true
		case w > own || w == own && name > in.Self:
			position++
		}
	}
	if !found {
		return 0, len(in.Names) + int(own%uint64(max(1, in.Others)))
	}
	sends = total / len(in.Names)
	if position < total%len(in.Names) {
		sends++
	}
	return sends, position
}

// weight orders the instances for an endpoint (rendezvous hashing).
func weight(endpoint uint64, instance string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, instance) // never fails
	_, _ = io.WriteString(h, strconv.FormatUint(endpoint, 16))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash (the finalizer of SplitMix64): FNV-1a hardly
// changes the high bits with the last bytes.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Wait returns the time in ms until this instance may send to an endpoint: 0 if it
// may now. instances is called if the endpoint has a limit.
func (c *Capper) Wait(now clock.Millis, endpoint uint64, instances func() Instances) clock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wait(now, endpoint, instances)
}

// Allow reports whether this instance may send to an endpoint now, and counts the
// send if so.
func (c *Capper) Allow(now clock.Millis, endpoint uint64, instances func() Instances) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wait(now, endpoint, instances) > 0 {
		return false
	}
	if l := c.limits[endpoint]; l != nil {
		l.sends = append(l.sends, now)
	}
	return true
}

// wait implements Wait. The lock is held.
func (c *Capper) wait(now clock.Millis, endpoint uint64, instances func() Instances) clock.Millis {
	l := c.limits[endpoint]
	if l == nil {
		return 0
	}
	l.dropSends(now - window)
	if l.rate < 0 {
		return 0
	}
	if q := &l.quota; q.at == 0 || now-q.at >= shareAge {
		q.sends, q.position = Share(l.rate, endpoint, instances())
		q.at = now
	}
	sends := l.quota.sends
	if sends == 0 {
		due := l.at + expiry + clock.Millis(l.quota.position)*positionExpiry
		if now < due {
			return due - now
		}
		sends = 1
	}
	if len(l.sends) < sends {
		return 0
	}
	return l.sends[len(l.sends)-sends] + window - now
}

// dropSends drops the sends up to an instant.
func (l *limit) dropSends(until clock.Millis) {
	first := 0
	for first < len(l.sends) && l.sends[first] <= until {
		first++
	}
	l.sends = append(l.sends[:0], l.sends[first:]...)
}
