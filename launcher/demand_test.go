package launcher

import (
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/heartbeater"
	"rosemaryarch.example/rosemaryarch/platform"
)

// Guards against an instance that assumes the load of its neighbours for good: for
// itself alone, or after a partition, nobody ever reports.
func TestLoadsKnown(t *testing.T) {
	now := clock.Minute
	l := &Launcher{clock: clock.Clock{Now: func() clock.Millis { return now }}, startedAt: now}
	var err error
	l.heartbeater, err = heartbeater.New(heartbeater.Options{
		Clock: l.clock, Self: heartbeater.Member{Name: "a", DataCentre: "dc", PeerAddress: "127.0.0.1:0"},
	})
	if err != nil {
		t.Fatal(err)
	}
	l.heartbeater.AddMember(heartbeater.Member{Name: "b", DataCentre: "dc", PeerAddress: "127.0.0.1:1"})
	l.settings = &platform.Settings{DataCentre: "dc"}
	if instances, known := l.neighbours(); known || instances != 2 {
		t.Errorf("at the start: got %d %v, want 2 false", instances, known)
	}
	now += loadsUnknownFor + 1
	if _, known := l.neighbours(); !known {
		t.Error("after the time for heartbeats: got unknown loads, want known")
	}
}
