package quarantiner

import (
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// dropSpan is the time after a dropped answer in which the end of its endpoint may be
	// due to the request: the endpoint begins to run it before it learns that nobody
	// waits for it any more.
	dropSpan = 400 * clock.Millis(1)
	// maxDrops limits the dropped answers that are kept.
	maxDrops = 256
)

// drop is a request whose answer an instance has dropped before its first event.
type drop struct {
	endpoint uint64
	at       clock.Millis
	request  Request
}

// RecordDrop records that the answer of an endpoint, given by the hash of its id, has been
// dropped before its first event. If the endpoint ends soon, the request was waiting
// there, too.
func (q *Quarantiner) RecordDrop(now clock.Millis, endpoint uint64, request Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.drops = slices.DeleteFunc(q.drops, func(d drop) bool { return now-d.at > dropSpan+crashSpan })
	if len(q.drops) < maxDrops {
		q.drops = append(q.drops, drop{endpoint, now, request})
	}
}

// Suspected reports whether an endpoint has ended while a request with the given content
// waited there.
func (q *Quarantiner) Suspected(content uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspects[contentName(content)] != nil
}

// addDropped adds the requests whose answers have been dropped shortly before a crash.
// The lock is held.
func (q *Quarantiner) addDropped(now clock.Millis, c *crash) {
	q.drops = slices.DeleteFunc(q.drops, func(d drop) bool {
		if d.endpoint != c.endpoint || d.at > c.at || c.at-d.at > dropSpan {
			return false
		}
		for position, name := range d.request.each {
			q.addWaiting(now, c, name, position, d.request.Content, copies)
		}
		return true
	})
}
