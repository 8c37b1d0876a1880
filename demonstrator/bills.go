package demonstrator

import (
	"context"
	"time"

	"rosemaryarch.example/rosemaryarch/biller"
)

// billTimeout bounds the wait until the last bills are committed.
const billTimeout = 8 * time.Second

// storedBills returns the number of committed bills by workspace/request id. It waits
// up to billTimeout for a bill of each answered request, and sets the collector's
// actual cost to the cost of all bills for answers of a model.
func (d *Demonstrator) storedBills(ctx context.Context) (map[string]int, error) {
	end := time.Now().Add(billTimeout)
	for {
		bills, err := biller.ReadCommitted(ctx, d.hoster.Store.Store())
		if err != nil {
			return nil, err
		}
		counts := map[string]int{}
		d.collector.actualCost = 0
		for _, b := range bills {
			counts[b.Workspace+"/"+b.RequestID]++
			if b.Version != "" {
				d.collector.actualCost += float64(b.CostMicros)
			}
		}
		missing := 0
		for id := range d.collector.versionByRequest {
			if counts[id] == 0 {
				missing++
			}
		}
		if missing == 0 || time.Now().After(end) {
			return counts, nil
		}
		sleep(ctx, 200*time.Millisecond)
	}
}
