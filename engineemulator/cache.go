package engineemulator

import (
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
)

// keptEvents bounds the history of cache events.
const keptEvents = 4096

type timedEvent struct {
	at    clock.Millis
	event engineclient.CacheEvent
}

// prefixCache keeps the prompts used last.
type prefixCache struct {
	capacity int
	prompts  []string // least recently used first
	events   []timedEvent
	sequence uint64
}

// use returns the bytes of prompt that the cache holds, and caches prompt.
func (c *prefixCache) use(prompt string, now clock.Millis) int {
	key := engineclient.PrefixKey(prompt)
	hit := 0
	for i, p := range c.prompts {
		if engineclient.PrefixKey(p) == key {
			hit = common(p, prompt)
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

func (c *prefixCache) publish(key string, evicted bool, now clock.Millis) {
	c.sequence++
	c.events = append(c.events, timedEvent{now, engineclient.CacheEvent{
		Sequence: c.sequence, Prefix: key, Evicted: evicted,
	}})
	if len(c.events) > keptEvents {
		c.events = c.events[1:]
	}
}

// since returns the events after from that are at least lag old, without each
// drop-th one.
func (c *prefixCache) since(from uint64, now, lag clock.Millis, drop int) []engineclient.CacheEvent {
	found := []engineclient.CacheEvent{}
	for _, ev := range c.events {
		lost := drop > 0 && ev.event.Sequence%uint64(drop) == 0
		if ev.event.Sequence > from && ev.at+lag <= now && !lost {
			found = append(found, ev.event)
		}
	}
	return found
}

// find returns the cached prompt under key.
func (c *prefixCache) find(key string) (string, bool) {
	for _, p := range c.prompts {
		if engineclient.PrefixKey(p) == key {
			return p, true
		}
	}
	return "", false
}

// clear empties the cache without events, as a restart does.
func (c *prefixCache) clear() { c.prompts = nil }

func common(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
