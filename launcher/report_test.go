package launcher

import (
	"io"
	"testing"

	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/heartbeater"
)

// Guards against requests to an endpoint that left while this instance alone was cut off from
// the store (DRAIN, review/10), and against a report of the store's answers that outlives its
// loss, or its return from a copy.
func TestReportsOfStore(t *testing.T) {
	s := newSite(t)
	l, err := New(s.settings("edge-1", "127.0.0.1", freePorts(t, 4)), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	reported := func() int64 {
		var m heartbeater.Message
		l.fillMessage(&m)
		return m.StoreUpFor
	}
	if got := reported(); got != 0 {
		t.Errorf("before the store has answered: reports %d ms", got)
	}
	l.storeRegained(0)
	l.storeUpSince.Add(-int64(10 * clock.Second))
	if got := clock.Millis(reported()); got < 10*clock.Second {
		t.Errorf("after 10 s of answers: reports %d ms", got)
	}
	now := l.clock.Now()
	l.catalog.Replace(now, []cataloger.Endpoint{{ID: "i-1", Service: "s", Version: "v1"}})
	l.storeLost(io.EOF)
	if got := reported(); got != 0 {
		t.Errorf("after the loss: reports %d ms", got)
	}
	l.storeRegained(clock.Second)
	l.catalog.Replace(l.clock.Now(), nil)
	if l.catalog.Snapshot(l.clock.Now()).Len() != 1 {
		t.Error("a missing endpoint has no grace although nobody has reported the store")
	}
	l.receiveMessage(&heartbeater.Message{StoreUpFor: int64(clock.Minute)})
	if l.catalog.Snapshot(l.clock.Now()).Len() != 0 {
		t.Error("an endpoint that left may receive requests although only this instance was cut off")
	}
	l.storeUpSince.Add(-int64(10 * clock.Second))
	l.eraChanged(1, 2)
	if got := clock.Millis(reported()); got > clock.Second {
		t.Errorf("after the return from a copy: reports %d ms", got)
	}
}
