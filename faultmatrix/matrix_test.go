package faultmatrix

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	holdTime = 6 * time.Second // of a fault that begins during or after a step
	leadTime = time.Second     // of a fault that begins before a step
)

// red reports whether KNOWN-RED.txt lists the test, and prints it if so.
func red(t *testing.T) bool {
	text, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "`"+t.Name()+"`") {
			t.Logf("known red: %s", strings.TrimSpace(line))
			return true
		}
	}
	return false
}

// instead says what must hold in a cell in which the step may fail, by row and
// column. All other checks stay: whole or explicitly refused answers, true run
// states, and every invariant.
var instead = map[string]string{
	"store down/order":               "held within the deadline, then a true \"not run\"",
	"store down/configuration":       "refused as store_unavailable, nothing changes",
	"store down/data centre":         "refused as store_unavailable, nothing changes",
	"store slow/order":               "confirmed, or a true \"not run\" at the deadline",
	"stale reads/order":              "confirmed, or explicitly not run, running or unknown; runs at most once",
	"stale reads/configuration":      "refused as a conflict; no new work while no revision can be confirmed",
	"stale reads/data centre":        "refused as a conflict; no new work while no revision can be confirmed",
	"peer link cut/order":            "confirmed at one of the two instances; the other may say outcome_unknown",
	"peer link one way/order":        "confirmed at one of the two instances; the other may say outcome_unknown",
	"data centre cut/order":          "confirmed, or outcome_unknown; runs at most once",
	"instance killed/order":          "confirmed, or outcome_unknown; runs at most once",
	"instance paused/order":          "confirmed, or outcome_unknown; runs at most once",
	"instance restarted/order":       "confirmed, or outcome_unknown; runs at most once",
	"endpoint dead/order":            "confirmed, or outcome_unknown; runs at most once",
	"list lagging/order":             "confirmed, or outcome_unknown; runs at most once",
	"store down/session":             "without its token a session may get another version",
	"instance killed/stream":         "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"instance killed/session":        "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"instance paused/stream":         "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"instance paused/session":        "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"instance paused/data centre":    "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"instance paused/shutdown":       "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"data centre cut/stream":         "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"data centre cut/session":        "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"data centre cut/data centre":    "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"data centre cut/shutdown":       "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"instance restarted/session":     "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"instance restarted/stream":      "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"instance killed/shutdown":       "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"instance killed/data centre":    "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"instance restarted/shutdown":    "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
	"instance restarted/data centre": "a true no_endpoint until a new granter may act, if no endpoint is known as warm",
}

var timings = []string{"before", "during", "after"}

// chosen returns the timings to run. The race detector runs one for each cell.
func chosen(row, column string) []string {
	if !underRace {
		return timings
	}
	n := xxhash.Sum64String(row+"/"+column) % uint64(len(timings))
	return timings[n : n+1]
}

// TestMatrix guards against a fault that breaks an invariant, or that makes a
// step fail which should have outlived it: every step runs with every fault
// injected before, during and after it.
func TestMatrix(t *testing.T) {
	quiet()
	for row, f := range rows() {
		for column, step := range columns() {
			for _, when := range chosen(row, column) {
				t.Run(row+"/"+column+"/"+when, func(t *testing.T) {
					t.Parallel()
					if red(t) {
						t.Skip("listed in KNOWN-RED.txt")
					}
					dir := t.TempDir()
					synctest.Test(t, func(t *testing.T) { cell(t, dir, row, column, when, f, step) })
				})
			}
		}
	}
}

func cell(t *testing.T, dir, row, column, when string, f fault, step func(*run)) {
	x := newFleet(t, dir, f.lag)
	r := &run{x: x, f: f, began: func() {}}
	switch when {
	case "before":
		injected := x.inject(f)
		time.Sleep(leadTime)
		step(r)
		x.clear(f, injected)
	case "during":
		ended := make(chan struct{})
		r.began = func() {
			go func() {
				defer close(ended)
				time.Sleep(30 * time.Millisecond)
				injected := x.inject(f)
				time.Sleep(holdTime)
				x.clear(f, injected)
			}()
		}
		step(r)
		<-ended
	case "after":
		step(r)
		injected := x.inject(f)
		time.Sleep(holdTime)
		x.clear(f, injected)
	}
	x.restore()
	r.f.lost = false
	r.effective("the newest revision after the fault")
	x.recovered("after the fault")
	x.settle()
	for _, what := range r.failed {
		if rule := instead[row+"/"+column]; rule != "" && when != "after" {
			t.Logf("step failed, %s: %s", rule, what)
			continue
		}
		t.Errorf("step failed: %s", what)
	}
}

func (x *fleet) inject(f fault) time.Time {
	f.inject(x)
	return time.Now()
}

// clear ends a fault after the checks that hold while it lasts.
func (x *fleet) clear(f fault, injected time.Time) {
	if f.verify != nil {
		f.verify(x, injected)
	}
	f.clear(x)
}
