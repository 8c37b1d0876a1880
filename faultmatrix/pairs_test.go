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

// pairs returns the number of pairs, which bounds the time of TestPairs.
func pairs() int {
	if underRace {
		return 10
	}
	return 60
}

// pair is two faults at random moments of mixed load.
type pair struct {
	rows  [2]string
	start [2]time.Duration
	hold  [2]time.Duration
	out   bool // the data centre is taken out and brought back meanwhile
}

func drawPair(t *rapid.T) pair {
	var names []string
	for name := range rows() {
		names = append(names, name)
	}
	slices.Sort(names)
	var p pair
	for k := range p.rows {
		p.rows[k] = rapid.SampledFrom(names).Draw(t, fmt.Sprintf("fault %d", k+1))
		p.start[k] = time.Duration(rapid.IntRange(0, 4000).Draw(t, "start")) * time.Millisecond
		p.hold[k] = time.Duration(rapid.IntRange(500, 6000).Draw(t, "hold")) * time.Millisecond
	}
	p.out = rapid.Bool().Draw(t, "out")
	return p
}

// TestPairs guards against two faults that together break an invariant which
// each of them alone leaves intact. The drawn cases depend on the seed only.
func TestPairs(t *testing.T) {
	quiet()
	if red(t) {
		t.Skip("listed in KNOWN-RED.txt")
	}
	draw := rapid.Custom(drawPair)
	for n := range pairs() {
		p := draw.Example(seed + n)
		t.Run(fmt.Sprintf("%d", n), func(t *testing.T) {
			t.Parallel()
			if red(t) {
				t.Skip("listed in KNOWN-RED.txt")
			}
			t.Logf("%+v", p)
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) { playPair(t, dir, p) })
		})
	}
}

func playPair(t *testing.T, dir string, p pair) {
	x := newFleet(t, dir, max(rows()[p.rows[0]].lag, rows()[p.rows[1]].lag))
	r := &run{x: x, began: func() {}}
	stop := r.load("answers")
	var open sync.WaitGroup
	for k, name := range p.rows {
		f := rows()[name]
		open.Add(1)
		go func() {
			defer open.Done()
			time.Sleep(p.start[k])
			f.inject(x)
			time.Sleep(p.hold[k])
			f.clear(x)
		}()
	}
	for _, step := range []func(*run){orderStep, sessionStep, orderStep} {
		open.Add(1)
		go func() {
			defer open.Done()
			step(r)
		}()
	}
	if p.out {
		time.Sleep(2 * time.Second)
		if at, ok := r.setDataCentre(true); ok {
			time.Sleep(time.Until(at.Add(noWorkBound + 2*time.Second)))
			if n := x.workIn(x.dataCentre(removed), at.Add(noWorkBound)); n > 0 {
				t.Errorf("I6: a removed data centre got %d requests more than %v after its removal", n, noWorkBound)
			}
		}
	}
	open.Wait()
	stop()
	x.restore()
	r.effective("the newest revision after the faults")
	x.recovered("after the faults")
	x.settle()
}
