package demonstrator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
)

// maxPropagationTime is the time within which a change must be in force everywhere.
const maxPropagationTime = 11 * time.Second

// report checks the properties that can only be checked at the end, and prints the
// measurements and all violations. It returns ErrPropertyViolated if there
// are any.
func (d *Demonstrator) report(ctx context.Context) error {
	d.checkBookings()
	d.checkColdLimits()
	d.checkSessions()
	d.checkPropagationTimes()
	if err := d.checkBills(ctx); err != nil {
		return err
	}
	d.printBookings()
	d.printMeasurements()
	if len(d.collector.violations) == 0 {
		fmt.Fprintln(d.Output, "\nevery watched property held")
		return nil
	}
	fmt.Fprintf(d.Output, "\n%d violations:\n", len(d.collector.violations))
	for _, f := range d.collector.violations[:min(len(d.collector.violations), maxViolationLines)] {
		fmt.Fprintln(d.Output, " ", f)
	}
	return ErrPropertyViolated
}

// maxViolationLines is the number of violations that are printed.
const maxViolationLines = 20

// checkBookings compares the number of executions of each booking with the responses
// that the callers got.
func (d *Demonstrator) checkBookings() {
	service, workspace := d.plainService()
	if service == nil {
		return
	}
	for key, confirmed := range d.collector.confirmed {
		runs := d.hoster.Platform.RunCount(service.Name, workspace+"."+key)
		switch {
		case runs > 1:
			d.collector.addViolation("booking %s was executed %d times", key, runs)
		case confirmed && runs != 1:
			d.collector.addViolation("booking %s was confirmed but executed %d times", key, runs)
		case d.collector.notExecuted[key] && runs > 0:
			d.collector.addViolation("booking %s was refused as not executed, but was executed", key)
		}
	}
}

// checkColdLimits checks that no cold engine ever had more concurrent requests than
// coldLimit.
func (d *Demonstrator) checkColdLimits() {
	for _, e := range d.hoster.Engines {
		if got := e.MaxColdLoad(); got > coldLimit {
			d.collector.addViolation("%s had %d requests while cold, its limit is %d", e.ID, got, coldLimit)
		}
	}
}

// coldLimit is the number of concurrent requests that a cold engine can handle.
const coldLimit = 2

// checkSessions checks that sessions kept their version, except the withdrawn one.
func (d *Demonstrator) checkSessions() {
	bad := d.badModel.Name + "@" + badVersion
	for _, m := range d.collector.sessionMoves(map[string]bool{bad: true}) {
		d.collector.addViolation("session changed its version: %s", m)
	}
}

// checkPropagationTimes checks how long changes took to be in force everywhere.
func (d *Demonstrator) checkPropagationTimes() {
	for _, duration := range d.propagationTimes {
		if duration > maxPropagationTime {
			d.collector.addViolation("a change was in force everywhere only after %v", duration)
		}
	}
}

// checkBills checks that each answered request has exactly one bill in the store.
func (d *Demonstrator) checkBills(ctx context.Context) error {
	bills, err := d.storedBills(ctx)
	if err != nil {
		return err
	}
	for id := range d.collector.versionByRequest {
		if bills[id] != 1 {
			d.collector.addViolation("request %s has %d bills", id, bills[id])
		}
	}
	return nil
}

// printBookings prints the number of bookings that were refused, and of those whose
// outcome is not known to the caller.
func (d *Demonstrator) printBookings() {
	unknown, notExecuted := 0, 0
	for key, confirmed := range d.collector.confirmed {
		switch {
		case confirmed:
		case d.collector.notExecuted[key]:
			notExecuted++
		default:
			unknown++
		}
	}
	fmt.Fprintf(d.Output, "\nbookings: %d, of which refused as not run %d, outcome unknown to the caller %d\n",
		len(d.collector.confirmed), notExecuted, unknown)
}

// printMeasurements prints cost, quality, latency by phase and the load of the store.
func (d *Demonstrator) printMeasurements() {
	bad := d.badModel.Name + "@" + badVersion
	t := tabwriter.NewWriter(d.Output, 0, 4, 2, ' ', 0)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "\nMEASURE\tVALUE\tAGAINST")
	if d.collector.bestCost > 0 {
		fmt.Fprintf(t, "cost of the answers\t%.0f\t%.0f if the best version answered all (%.0f%% less)\n",
			d.collector.actualCost, d.collector.bestCost, 100*(1-d.collector.actualCost/d.collector.bestCost))
	}
	below := d.collector.belowTarget()
	fmt.Fprintf(t, "workspaces below their quality\t%d\t0 %s\n", len(below), strings.Join(below, ", "))
	total := 0
	for _, n := range d.collector.answersByVersion {
		total += n
	}
	fmt.Fprintf(t, "answers by the bad version\t%d\tof %d answers\n", d.collector.answersByVersion[bad], total)
	fmt.Fprintln(t, "\nPHASE\tREQUESTS\tANSWERED\tFIRST TOKEN p50\tp95")
	for _, p := range d.collector.phases {
		share, p50, p95, requests := d.collector.phaseSummary(p)
		fmt.Fprintf(t, "%s\t%d\t%.2f%%\t%.0f ms\t%.0f ms\n", p, requests, 100*share, p50, p95)
	}
	fmt.Fprintf(t, "\nchanges in force everywhere\t%v\tbound %v\n", longest(d.propagationTimes), maxPropagationTime)
	counts := d.hoster.Store.Counts()
	elapsed := float64(clock.System().Now()-d.started) / float64(clock.Second)
	fmt.Fprintf(t, "store calls a second\t%.1f writes, %.1f reads, %.1f watches\t\n",
		float64(counts.Writes)/elapsed, float64(counts.Reads)/elapsed, float64(counts.Watches)/elapsed)
	fmt.Fprintf(t, "answers by version\t%s\t\n", d.versionList())
}

// longest returns the longest of the durations, rounded to milliseconds.
func longest(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	return slices.Max(all).Round(time.Millisecond)
}

// versionList returns the number of answers by version as text.
func (d *Demonstrator) versionList() string {
	var list []string
	for v, n := range d.collector.answersByVersion {
		list = append(list, fmt.Sprintf("%s %d", v, n))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
