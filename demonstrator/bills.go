package demonstrator

import (
	"context"
	"time"

	"rosemaryarch.example/rosemaryarch/biller"
)

// billTimeout bounds the wait for the last bills to be committed.
const billTimeout = 8 * time.Second

// storedBills returns the number of bills in the store by workspace and request
// id, once there is one for each answer or the time is up. It adds up their cost.
func (d *Demonstrator) storedBills(ctx context.Context) (map[string]int, error) {
	end := time.Now().Add(billTimeout)
	for {
		bills, err := biller.ReadCommitted(ctx, d.hoster.Store.Store())
		if err != nil {
			return nil, err
		}
		counts := map[string]int{}
		d.ledger.spent = 0
		for _, b := range bills {
			counts[b.Workspace+"/"+b.RequestID]++
			if b.Version != "" {
				d.ledger.spent += float64(b.CostMicros)
			}
		}
		missing := 0
		for id := range d.ledger.answered {
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
