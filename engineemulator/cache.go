package engineemulator

import (
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
)

// maxEvents is the number of cache events that are kept for clients.
const maxEvents = 4096

// timedEvent is a cache event with the instant at which it happened.
type timedEvent struct {
	at    clock.Millis
	event engineclient.CacheEvent
}

// prefixCache is a cache of prompts that evicts the least recently used one.
// Prompts with the same engineclient.PrefixKey share an entry.
type prefixCache struct {
	capacity int
	prompts  []string     // least recently used first
	events   []timedEvent // oldest first
	sequence uint64       // number of the last event
}

// access returns the number of leading bytes of prompt that the cache holds, and
// makes prompt the most recently used entry.
func (c *prefixCache) access(prompt string, now clock.Millis) int {
	key := engineclient.PrefixKey(prompt)
	hit := 0
	for i, p := range c.prompts {
		if engineclient.PrefixKey(p) == key {
			hit = commonPrefixLength(p, prompt)
			c.prompts = append(c.prompts[:i:i], c.prompts[i+1:]...)
			c.prompts = append(c.prompts, prompt)
			return hit
		}
	}
	c.prompts = append(c.prompts, prompt)
	c.publish(key, false, now)
	for len(c.prompts) > c.capacity {
		c.publish(engineclient.PrefixKey(c.prompts[0]), true, now)
		c.prompts = c.prompts[1:]
	}
	return hit
}

// publish records an event and drops the oldest one above maxEvents.
func (c *prefixCache) publish(key string, evicted bool, now clock.Millis) {
	c.sequence++
	c.events = append(c.events, timedEvent{now, engineclient.CacheEvent{
		Sequence: c.sequence, Prefix: key, Evicted: evicted,
	}})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// since returns the events with a sequence above from that are at least delay old.
// If drop is positive, every drop-th event is omitted.
func (c *prefixCache) since(from uint64, now, delay clock.Millis, drop int) []engineclient.CacheEvent {
	found := []engineclient.CacheEvent{}
	for _, ev := range c.events {
		lost := drop > 0 && ev.event.Sequence%uint64(drop) == 0
		if ev.event.Sequence > from && ev.at+delay <= now && !lost {
			found = append(found, ev.event)
		}
	}
	return found
}

// find returns the cached prompt with the given prefix key.
func (c *prefixCache) find(key string) (string, bool) {
	for _, p := range c.prompts {
		if engineclient.PrefixKey(p) == key {
			return p, true
		}
	}
	return "", false
}

// clear empties the cache without eviction events, as a restart of an engine does.
func (c *prefixCache) clear() { c.prompts = nil }

// commonPrefixLength returns the length in bytes of the common prefix of a and b.
func commonPrefixLength(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
