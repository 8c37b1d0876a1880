package faultmatrix

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	holdTime = 6 * time.Second // of a fault that begins during or after a step
	leadTime = time.Second     // of a fault that begins before a step
)

// red reports whether KNOWN-RED.txt lists the test.
func red(t *testing.T) bool {
	text, err := os.ReadFile("../KNOWN-RED.txt")
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "`"+t.Name()+"`") {
			return true
		}
	}
	return false
}

// instead says what must hold in a cell in which the step may fail, by row and
// column. All other checks stay.
var instead = map[string]string{}

// TestMatrix guards against a fault that breaks an invariant, or that makes a
// step fail which should have outlived it: every step runs with every fault
// injected before, during and after it.
func TestMatrix(t *testing.T) {
	quiet()
	for row, f := range rows() {
		for column, step := range columns() {
			for _, when := range []string{"before", "during", "after"} {
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

	r := &run{x: x, f: f, on: when == "before", began: func() {}}
	switch when {
	case "before":
		f.inject(x)
		time.Sleep(leadTime)
		step(r)
		f.clear(x)
	case "during":
		ended := make(chan struct{})
		r.began = func() {
			go func() {
				defer close(ended)
				time.Sleep(30 * time.Millisecond)
				f.inject(x)
				time.Sleep(holdTime)
				f.clear(x)
			}()
		}
		step(r)
		<-ended
	case "after":
		step(r)
		f.inject(x)
		time.Sleep(holdTime)
		f.clear(x)
	}
	x.restore()
	x.recovered("after the fault")
	x.settle()
	if allowed := instead[row+"/"+column]; allowed == "" || when == "after" {
		for _, what := range r.failed {
			t.Errorf("step failed: %s", what)
		}
	}
}
