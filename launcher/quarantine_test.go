package launcher

import (
	"context"
	"io"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/quarantiner"
)

// closeSocket closes the socket for heartbeats of an instance that does not run.
func closeSocket(t *testing.T, l *Launcher) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.heartbeater.Run(ctx)
}

// Guards against instances that all restart at the same time and forget which
// requests and parts of prompts crash endpoints: each would have to end several more
// before it is held again.
func TestHeldPartsSurviveRestartOfAllInstances(t *testing.T) {
	tests := map[string]struct {
		stored any // object in the store before the restart; nil: what the instance wrote
		old    bool
		want   string
	}{
		"restart":           {nil, false, "dead"},
		"long after":        {nil, true, ""},
		"unreadable object": {"text", false, ""},
		"held for too long": {heldPartsSpec{HeldParts: []storedHold{{Part: "dead", SinceUnixMS: 1000}}}, false, ""},
		"of another build":  {map[string]any{"parts": 1}, false, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			ports := freePorts(t, 4)
			path := s.settings("edge-1", "127.0.0.1", ports)
			first, err := New(path, io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			now, parts := first.clock.Now(), []string{"system", "dead"}
			for i := range uint64(4) {
				first.quarantine.RecordCrash(now+200*clock.Millis(i), i, quarantiner.Request{Content: i, Parts: parts})
			}
			repeated := quarantiner.Request{Content: 99}
			for i := range uint64(3) {
				first.quarantine.RecordCrash(now+200*clock.Millis(i), 10+i, repeated)
			}
			first.quarantine.RecordFirstEvent(now+clock.Second, quarantiner.Request{Parts: parts[:1]})
			first.quarantine.Decide(now + 2*clock.Second)
			if part, _ := first.quarantine.Check(now, quarantiner.Request{Parts: parts[1:]}); part != "dead" {
				t.Fatal("the part is not held before the restart")
			}
			first.storeHeldParts(t.Context(), now, first.quarantine.Held(now+2*clock.Second))
			if tt.stored != nil {
				s.put(platform.InstanceKind, heldPartsName, tt.stored)
			}
			closeSocket(t, first)
			second, err := New(path, io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			defer closeSocket(t, second)
			if tt.old {
				second.startedAt -= heldPartsReadFor + clock.Second
			}
			second.readMembers(t.Context())
			second.quarantine.Decide(second.clock.Now())
			if part, _ := second.quarantine.Check(second.clock.Now(), quarantiner.Request{Parts: parts}); part != tt.want {
				t.Errorf("after the restart: got %q held, want %q", part, tt.want)
			}
			name, _ := second.quarantine.Check(second.clock.Now(), repeated)
			if held := name != ""; held != (tt.want != "") {
				t.Errorf("repeated request after the restart: got %q held, want as the part", name)
			}
		})
	}
}
