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

// configBound is the time within which a change must be in force everywhere.
const configBound = 11 * time.Second

// report checks what can only be known at the end, prints the measures and the
// properties, and returns ErrViolated if one failed.
func (d *Demonstrator) report(ctx context.Context) error {
	d.checkOrders()
	d.checkCold()
	d.checkSessions()
	d.checkConfiguration()
	if err := d.checkBills(ctx); err != nil {
		return err
	}
	d.checkCallers()
	d.printMeasures()
	if len(d.ledger.faults) == 0 {
		fmt.Fprintln(d.Output, "\nevery watched property held")
		return nil
	}
	fmt.Fprintf(d.Output, "\n%d violations:\n", len(d.ledger.faults))
	for _, f := range d.ledger.faults[:min(len(d.ledger.faults), maxFaultLines)] {
		fmt.Fprintln(d.Output, " ", f)
	}
	return ErrPropertyViolated
}

const maxFaultLines = 20

// checkOrders compares the runs of each order with what callers were told.
func (d *Demonstrator) checkOrders() {
	service, workspace := d.plainService()
	if service == nil {
		return
	}
	for key, confirmed := range d.ledger.bookings {
		runs := d.hoster.Platform.RunCount(service.Name, workspace+"."+key)
		switch {
		case runs > 1:
			d.ledger.fault("order %s ran %d times", key, runs)
		case confirmed && runs != 1:
			d.ledger.fault("order %s was confirmed and ran %d times", key, runs)
		case d.ledger.notRun[key] && runs > 0:
			d.ledger.fault("order %s was refused as not run, but ran", key)
		}
	}
}

func (d *Demonstrator) checkCold() {
	for _, e := range d.hoster.Engines {
		if got := e.MaxColdLoad(); got > coldLimit {
			d.ledger.fault("%s had %d requests while cold, its limit is %d", e.ID, got, coldLimit)
		}
	}
}

// coldLimit is what the stand-ins' engines can handle in cold start.
const coldLimit = 2

func (d *Demonstrator) checkSessions() {
	bad := d.badModel.Name + "@" + badVersion
	for _, m := range d.ledger.sessionMoves(map[string]bool{bad: true}) {
		d.ledger.fault("session changed its version: %s", m)
	}
}

func (d *Demonstrator) checkConfiguration() {
	for _, took := range d.inForce {
		if took > configBound {
			d.ledger.fault("a change was in force everywhere only after %v", took)
		}
	}
}

// checkBills compares the bills in the store with the answers.
func (d *Demonstrator) checkBills(ctx context.Context) error {
	bills, err := d.storedBills(ctx)
	if err != nil {
		return err
	}
	for id := range d.ledger.answered {
		if bills[id] != 1 {
			d.ledger.fault("request %s has %d bills", id, bills[id])
		}
	}
	return nil
}

// checkCallers counts the orders whose outcome nobody could tell.
func (d *Demonstrator) checkCallers() {
	unknown, notRun := 0, 0
	for key, confirmed := range d.ledger.bookings {
		switch {
		case confirmed:
		case d.ledger.notRun[key]:
			notRun++
		default:
			unknown++
		}
	}
	fmt.Fprintf(d.Output, "\norders: %d, of which refused as not run %d, outcome unknown to the caller %d\n",
		len(d.ledger.bookings), notRun, unknown)
}

func (d *Demonstrator) printMeasures() {
	bad := d.badModel.Name + "@" + badVersion
	t := tabwriter.NewWriter(d.Output, 0, 4, 2, ' ', 0)
	defer func() { _ = t.Flush() }()
	fmt.Fprintln(t, "\nMEASURE\tVALUE\tAGAINST")
	if d.ledger.best > 0 {
		fmt.Fprintf(t, "cost of the answers\t%.0f\t%.0f if the best version answered all (%.0f%% less)\n",
			d.ledger.spent, d.ledger.best, 100*(1-d.ledger.spent/d.ledger.best))
	}
	below := d.ledger.below()
	fmt.Fprintf(t, "workspaces below their quality\t%d\t0 %s\n", len(below), strings.Join(below, ", "))
	total := 0
	for _, n := range d.ledger.versions {
		total += n
	}
	fmt.Fprintf(t, "answers by the bad version\t%d\tof %d answers\n", d.ledger.versions[bad], total)
	fmt.Fprintln(t, "\nPHASE\tREQUESTS\tANSWERED\tFIRST TOKEN p50\tp95")
	for _, p := range d.ledger.phases {
		share, p50, p95, asked := d.ledger.served(p)
		fmt.Fprintf(t, "%s\t%d\t%.2f%%\t%.0f ms\t%.0f ms\n", p, asked, 100*share, p50, p95)
	}
	fmt.Fprintf(t, "\nchanges in force everywhere\t%v\tbound %v\n", slowest(d.inForce), configBound)
	counts := d.hoster.Store.Counts()
	took := float64(clock.System().Now()-d.started) / float64(clock.Second)
	fmt.Fprintf(t, "store calls a second\t%.1f writes, %.1f reads, %.1f watches\t\n",
		float64(counts.Writes)/took, float64(counts.Reads)/took, float64(counts.Watches)/took)
	fmt.Fprintf(t, "answers by version\t%s\t\n", d.versionList())
}

func slowest(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	return slices.Max(all).Round(time.Millisecond)
}

func (d *Demonstrator) versionList() string {
	var list []string
	for v, n := range d.ledger.versions {
		list = append(list, fmt.Sprintf("%s %d", v, n))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
