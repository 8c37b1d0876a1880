package follower

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/configwriter"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// TestSettledPartitions guards, for random partitions and store access, against
// a change that is accepted on one side while the other side serves without it.
// Gossip has settled when the operators act, and no cut changes afterwards, so
// that isKnownException applies to none of the changes.
func TestSettledPartitions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := newFleet(rt, rapid.Uint64().Draw(rt, "seed"), 9)
		w.run(5 * clock.Second)
		for _, a := range dataCentres {
			w.withoutStore[a] = rapid.Bool().Draw(rt, "no store at "+a)
			for _, b := range dataCentres {
				w.cutPaths[[2]string{a, b}] = a != b && rapid.IntRange(0, 2).Draw(rt, "cut "+a+" to "+b) > 0
			}
		}
		for range rapid.IntRange(0, 2).Draw(rt, "pauses") {
			w.nodes[rapid.IntRange(0, 8).Draw(rt, "node")].paused = true
		}
		w.run(20 * clock.Second)
		for range rapid.IntRange(1, 3).Draw(rt, "operators") {
			if n := w.nodes[rapid.IntRange(0, 8).Draw(rt, "operator")]; !n.paused {
				_ = w.write(n, func(writer *configwriter.Writer, id string) error {
					_, err := writer.SetDataCentre(context.Background(), "oita", true, id)
					return err
				})
				w.run(5 * clock.Second)
			}
		}
	})
}

// TestRandomFaults guards, for random cuts, pauses, outages and concurrent
// operators, against a revision that decreases, dispatch by a replaced
// configuration, and a fleet that does not converge within the bound once the
// faults end.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := newFleet(rt, rapid.Uint64().Draw(rt, "seed"), 9)
		w.run(6 * clock.Second)
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			w.injectFault(rt)
			w.run(clock.Millis(rapid.IntRange(1, 80).Draw(rt, "span")) * 100)
		}
		w.store.SetFaults(storeemulator.Faults{})
		w.cutPaths, w.withoutStore, w.storeDelay, w.watchesFrozen = map[[2]string]bool{}, map[string]bool{}, 0, false
		w.cutChanges = append(w.cutChanges, w.clock.Now())
		for _, n := range w.nodes {
			if n.paused {
				w.resume(n)
			}
		}
		var newest uint64
		for revision := range w.writtenAt {
			newest = max(newest, revision)
		}
		if got := w.timeInForce(newest, inForceBound, ""); got < 0 {
			rt.Fatalf("revision %d is not in force %d ms after the faults ended", newest, inForceBound)
		}
		w.run(MaxEvidenceAge)
		if got, want := w.serving(), "fu ku ka oi "; got != want {
			rt.Fatalf("serving after the faults: got %q, want %q", got, want)
		}
	})
}

// injectFault starts or ends a random fault, or makes an operator's change.
func (w *fleet) injectFault(rt *rapid.T) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(rt, "node")]
	dc := rapid.SampledFrom(dataCentres).Draw(rt, "data centre")
	other := rapid.SampledFrom(dataCentres).Draw(rt, "other")
	on := rapid.Bool().Draw(rt, "on")
	switch rapid.IntRange(0, 7).Draw(rt, "fault") {
	case 0:
		w.isolate(dc, on, on)
	case 1:
		w.setCut(dc, other, on && dc != other)
	case 2:
		w.cutPaths[[2]string{dc, other}] = on && dc != other
		w.cutChanges = append(w.cutChanges, w.clock.Now())
	case 3:
		w.store.SetFaults(storeemulator.Faults{Down: on, LoseWriteAnswers: rapid.IntRange(0, 2).Draw(rt, "lost")})
	case 4:
		w.withoutStore[dc] = on
	case 5:
		if n.paused {
			w.resume(n)
		} else {
			n.paused = true
		}
	case 6:
		w.watchesFrozen = on
	default:
		if n.paused {
			return
		}
		_ = w.write(n, func(writer *configwriter.Writer, id string) error {
			_, err := writer.SetDataCentre(context.Background(), dc, on, id)
			return err
		})
	}
}
