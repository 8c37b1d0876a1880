package follower

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/reviser"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// TestSettledPartitions guards, over random partitions and store access, against
// a change that is accepted on one side while the other side gives work without
// it. Gossip has settled when the operators act, so the harness excuses nothing.
func TestSettledPartitions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := newFleet(rt, rapid.Uint64().Draw(rt, "seed"), 9)
		w.run(5 * clock.Second)
		for _, a := range dataCentres {
			w.noStore[a] = rapid.Bool().Draw(rt, "no store at "+a)
			for _, b := range dataCentres {
				w.cut[[2]string{a, b}] = a != b && rapid.IntRange(0, 2).Draw(rt, "cut "+a+" to "+b) > 0
			}
		}
		for range rapid.IntRange(0, 2).Draw(rt, "pauses") {
			w.nodes[rapid.IntRange(0, 8).Draw(rt, "node")].paused = true
		}
		w.run(20 * clock.Second)
		for range rapid.IntRange(1, 3).Draw(rt, "operators") {
			if n := w.nodes[rapid.IntRange(0, 8).Draw(rt, "operator")]; !n.paused {
				_ = w.write(n, func(r *reviser.Reviser, id string) error {
					_, err := r.SetDataCentre(context.Background(), "oita", true, id)
					return err
				})
				w.run(5 * clock.Second)
			}
		}
	})
}

// TestHistories guards, over random cuts, pauses, outages and racing operators,
// against a revision that goes back, work on a replaced configuration, and a
// fleet that does not converge within the bound once the faults end.
func TestHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := newFleet(rt, rapid.Uint64().Draw(rt, "seed"), 9)
		w.run(6 * clock.Second)
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			w.step(rt)
			w.run(clock.Millis(rapid.IntRange(1, 80).Draw(rt, "span")) * 100)
		}
		w.store.SetFaults(storeemulator.Faults{})
		w.cut, w.noStore, w.slow, w.frozen = map[[2]string]bool{}, map[string]bool{}, 0, false
		w.cuts = append(w.cuts, w.clock.Now())
		for _, n := range w.nodes {
			if n.paused {
				w.resume(n)
			}
		}
		var newest uint64
		for revision := range w.writes {
			newest = max(newest, revision)
		}
		if got := w.inForce(newest, inForceBound, ""); got < 0 {
			rt.Fatalf("revision %d is not in force %d ms after the faults ended", newest, inForceBound)
		}
		w.run(FreshFor)
		if got, want := w.serving(), "fu ku ka oi "; got != want {
			rt.Fatalf("serving after the faults: got %q, want %q", got, want)
		}
	})
}

// step injects one fault, ends one, or makes an operator's change.
func (w *fleet) step(rt *rapid.T) {
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
		w.cut[[2]string{dc, other}] = on && dc != other
		w.cuts = append(w.cuts, w.clock.Now())
	case 3:
		w.store.SetFaults(storeemulator.Faults{Down: on, LoseWrites: rapid.IntRange(0, 2).Draw(rt, "lost")})
	case 4:
		w.noStore[dc] = on
	case 5:
		if n.paused {
			w.resume(n)
		} else {
			n.paused = true
		}
	case 6:
		w.frozen = on
	default:
		if n.paused {
			return
		}
		_ = w.write(n, func(r *reviser.Reviser, id string) error {
			_, err := r.SetDataCentre(context.Background(), dc, on, id)
			return err
		})
	}
}
