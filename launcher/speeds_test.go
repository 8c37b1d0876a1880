package launcher

import (
	"testing"

	"rosemaryarch.example/rosemaryarch/calibrator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/heartbeater"
	"rosemaryarch.example/rosemaryarch/platform"
)

// Guards against samples that a heartbeat does not carry or that spoil its loads,
// against those of another data centre, and against a message of the previous build,
// which has none.
func TestHeartbeatsCarrySpeeds(t *testing.T) {
	newLauncher := func() *Launcher {
		return &Launcher{
			clock: clock.Boot(), settings: &platform.Settings{DataCentre: "dc"},
			calibrator: calibrator.New(calibrator.Options{Plain: plainDuration}),
		}
	}
	sender, receiver := newLauncher(), newLauncher()
	list := make([]calibrator.Endpoint, 4)
	for i := range list {
		list[i] = calibrator.Endpoint{Key: uint64(7 + i), ID: string(rune('a' + i)), Service: "s", Local: true}
	}
	now := sender.clock.Now()
	for range 50 {
		for i, e := range list {
			sender.calibrator.RecordPlain(now, e, 1, []float64{120, 40, 40, 40}[i])
		}
	}
	m := heartbeater.Message{
		From: heartbeater.Member{DataCentre: "dc"}, Loads: []heartbeater.Load{{Endpoint: 7, Work: 5, Running: 2}},
	}
	sender.addSpeeds(now, &m)
	if l := m.Loads[0]; len(m.Loads) != 4 || l.Work != 5 || l.Running != 2 || l.Samples == 0 {
		t.Fatalf("loads: got %+v, want the present one with samples and three more", m.Loads)
	}
	previous := heartbeater.Message{From: m.From, Loads: []heartbeater.Load{{Endpoint: 7, Work: 9}}}
	remote := heartbeater.Message{From: heartbeater.Member{DataCentre: "x"}, Loads: m.Loads}
	for i, message := range []heartbeater.Message{previous, remote, m} {
		receiver.receiveMessage(&message)
		for _, e := range list {
			receiver.calibrator.Speed(now, e)
		}
		now += clock.Second
		if got := receiver.calibrator.Speed(now, list[0]).Factor; (got >= 2) != (i == 2) || i < 2 && got != 1 {
			t.Errorf("factor after message %d: got %.2f, want 1, 1 and at least 2", i, got)
		}
	}
}
