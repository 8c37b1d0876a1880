package faultmatrix

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// pairCount returns the number of pairs of faults in TestPairs. It is lower with the race
// detector, to limit the run time.
func pairCount() int {
	if raceEnabled {
		return 10
	}
	return 60
}

// faultPair is two faults that begin at random times under a mixed load.
type faultPair struct {
	faults           [2]string
	start            [2]time.Duration
	duration         [2]time.Duration
	removeDataCentre bool // a data centre is taken out of service and returned meanwhile
}

// drawPair draws two faults, their start and their duration.
func drawPair(t *rapid.T) faultPair {
	var names []string
	for name := range faults() {
		names = append(names, name)
	}
	slices.Sort(names)
	var p faultPair
	for k := range p.faults {
		p.faults[k] = rapid.SampledFrom(names).Draw(t, fmt.Sprintf("fault %d", k+1))
		p.start[k] = time.Duration(rapid.IntRange(0, 4000).Draw(t, "start")) * time.Millisecond
		p.duration[k] = time.Duration(rapid.IntRange(500, 6000).Draw(t, "hold")) * time.Millisecond
	}
	p.removeDataCentre = rapid.Bool().Draw(t, "out")
	return p
}

// TestPairs guards against pairs of faults that break an invariant although each fault
// alone does not. The drawn pairs depend only on the seed.
func TestPairs(t *testing.T) {
	discardLogs()
	if knownRed(t) {
		t.Skip("listed in KNOWN-RED.txt")
	}
	draw := rapid.Custom(drawPair)
	for n := range pairCount() {
		p := draw.Example(seed + n)
		t.Run(fmt.Sprintf("%d", n), func(t *testing.T) {
			t.Parallel()
			if knownRed(t) {
				t.Skip("listed in KNOWN-RED.txt")
			}
			t.Logf("%+v", p)
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) { runPair(t, dir, p) })
		})
	}
}

// runPair runs a mixed load and some steps under both faults, and checks the invariants.
func runPair(t *testing.T, dir string, p faultPair) {
	fleet := newFleet(t, dir, max(faults()[p.faults[0]].listDelay, faults()[p.faults[1]].listDelay))
	r := &stepRun{fleet: fleet, onStart: func() {}}
	stop := r.generateLoad("answers")
	var inFlight sync.WaitGroup
	for k, name := range p.faults {
		fault := faults()[name]
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			time.Sleep(p.start[k])
			fault.inject(fleet)
			time.Sleep(p.duration[k])
			fault.clear(fleet)
		}()
	}
	for _, step := range []func(*stepRun){orderStep, sessionStep, orderStep} {
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			step(r)
		}()
	}
	if p.removeDataCentre {
		time.Sleep(2 * time.Second)
		if at, ok := r.setDataCentre(true); ok {
			time.Sleep(time.Until(at.Add(removalBound + 2*time.Second)))
			if n := fleet.requestsIn(fleet.dataCentre(removedInstance), at.Add(removalBound)); n > 0 {
				t.Errorf("I6: a removed data centre got %d requests more than %v after its removal", n, removalBound)
			}
		}
	}
	inFlight.Wait()
	stop()
	fleet.undoRemoval()
	r.checkInForce("the newest revision after the faults")
	fleet.waitForRecovery("after the faults")
	fleet.checkFinalState()
}
