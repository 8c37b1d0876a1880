package budgeter

import (
	"math/rand/v2"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Guards against a retry storm: for every pattern of requests, the retries of
// all instances in any window stay within the bound of Options (soak rule BUDGET).
func TestFleetStaysWithinBound(t *testing.T) {
	const (
		ratio  = 0.9
		slack  = 58.0
		window = 10 * clock.Second
	)
	tests := map[string]struct {
		members       int
		requests      int          // per second and instance at the start
		laterRequests int          // after 15 s
		interval      clock.Millis // time between two reports of peers; 0 if there are none
		retryFrom     clock.Millis // time from which every request asks for retries
	}{
		// Clients that retry at once send four times the usual number of requests.
		"abusive retries begin":                {9, 5, 20, 0, 0},
		"abusive retries end":                  {9, 20, 5, 0, 0},
		"steady":                               {9, 10, 10, 0, 0},
		"burst ends":                           {9, 60, 2, 0, 0},
		"idle":                                 {9, 0, 0, 0, 0},
		"idle, many instances":                 {76, 0, 0, 0, 0},
		"many instances":                       {76, 4, 4, 0, 0},
		"traffic returns":                      {9, 0, 20, 0, 0},
		"shared, steady":                       {9, 10, 10, 250, 0},
		"shared, burst ends":                   {9, 60, 2, 250, 0},
		"shared, traffic returns":              {9, 0, 20, 250, 0},
		"shared, many instances, late reports": {76, 4, 4, 2500, 0},
		"shared, all fail at once":             {19, 10, 10, 750, 12000},
		"shared, all fail, late reports":       {76, 10, 10, 2500, 12000},
		"shared, all fail, then few requests":  {19, 10, 1, 750, 12000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			list := make([]*Budgeter, tt.members)
			for i := range list {
				list[i] = New(Options{Window: window, Ratio: ratio, Slack: slack})
			}
			const duration = 40000
			var sent, retried [duration + 1]int
			reported := make([]PeerCounts, tt.members)
			next := make([]PeerCounts, tt.members)
			for now := clock.Millis(0); now < duration; now += 50 {
				if tt.interval > 0 && now%tt.interval == 0 {
					copy(reported, next) // the reports of the previous round have arrived
					next = reports(list, now)
				}
				rate := tt.requests
				if now > 15000 {
					rate = tt.laterRequests
				}
				for i, b := range list {
					if r.Float64() < float64(rate)/20 {
						b.RecordRequest(now, "s")
						sent[now]++
					}
					// Every client asks for retries all the time.
					for range 3 {
						if now >= tt.retryFrom && b.TryWithdraw(now, "s", tt.members, 0, peerSum(reported, i, tt.interval)) {
							retried[now]++
						}
					}
				}
			}
			checkBound(t, sent[:], retried[:], int(window), ratio, slack)
		})
	}
}

// checkBound compares the retries in each window with the bound of Options. sent and
// retried hold the numbers for each ms.
func checkBound(t *testing.T, sent, retried []int, window int, ratio, slack float64) {
	t.Helper()
	for from := 0; from+window < len(sent); from += 250 {
		retries, requests := 0, 0
		for _, x := range retried[from : from+window] {
			retries += x
		}
		// The bound counts the requests of this window, of the previous one or of
		// the one half a window earlier, whichever has the most.
		for _, shift := range []int{0, window / 2, window} {
			count := 0
			for _, x := range sent[max(0, from-shift):max(0, from+window-shift)] {
				count += x
			}
			requests = max(requests, count)
		}
		if bound := ratio*float64(requests) + slack; float64(retries) > bound {
			t.Fatalf("from %d ms: got %d retries, want at most %.0f", from, retries, bound)
		}
	}
}

// reports returns the counts that each instance sends.
func reports(list []*Budgeter, now clock.Millis) []PeerCounts {
	reported := make([]PeerCounts, len(list))
	for i, b := range list {
		b.Counts(now, func(_ string, requests, borrowed float64) {
			reported[i] = PeerCounts{Requests: requests, Borrowed: borrowed}
		})
	}
	return reported
}

// peerSum sums the reports of all instances but one, which are up to two rounds
// old.
func peerSum(reported []PeerCounts, self int, interval clock.Millis) PeerCounts {
	if interval == 0 {
		return PeerCounts{}
	}
	sum := PeerCounts{Instances: len(reported) - 1, Age: 2 * interval}
	for i, o := range reported {
		if i != self {
			sum.Requests += o.Requests
			sum.Borrowed += o.Borrowed
		}
	}
	return sum
}

// Guards against requests that are not escalated because their instance has just
// escalated several others, while its peers need few retries. The budget of a
// single instance with about ten requests in the window varies widely. Seen on
// kseal-router-grown, scale-1.
func TestPoolIsShared(t *testing.T) {
	// 40 requests, and 36 of 0.9 x 40 retries wanted within 8 s.
	retries := func(peers PeerCounts) int {
		b := New(Options{Window: 10000, Ratio: 0.9, Slack: 0})
		for range 40 {
			b.RecordRequest(0, "s")
		}
		n := 0
		for i := range 100 {
			if b.TryWithdraw(clock.Millis(80*i), "s", 10, 0.25, peers) {
				n++
			}
		}
		return n
	}
	alone, withPeers := retries(PeerCounts{}), retries(PeerCounts{Requests: 360, Instances: 9})
	if withPeers < 30 || alone >= withPeers {
		t.Errorf("retries: got %d with peers and %d without, want 30 or more, and fewer without", withPeers, alone)
	}
	if got, want := retries(PeerCounts{Requests: 360, Borrowed: 90, Instances: 9}), 16; got != want {
		t.Errorf("retries with an exhausted pool: got %d, want %d, 0.6 x 0.75 of the own bound of 36", got, want)
	}
}

// Guards against escalations that exhaust the budget of an instance just before
// endpoints crash: the streams that break must be able to retry at once. Seen on
// kseal-router-grown, scale-1, where a quarter of the engines crashes.
func TestReserveForFailures(t *testing.T) {
	b := New(Options{Window: 10000, Ratio: 0.9, Slack: 0})
	for range 50 {
		b.RecordRequest(0, "s")
	}
	exhausted := PeerCounts{Requests: 900, Borrowed: 300, Instances: 18, Age: 750}
	for b.TryWithdraw(1, "s", 19, 0.25, exhausted) {
	}
	n := 0
	for b.TryWithdraw(2, "s", 19, 0, exhausted) {
		n++
	}
	// The reserve is 0.25 x 0.6 x 45.
	if n < 6 {
		t.Errorf("retries of failed streams: got %d at once, want 6", n)
	}
}

// Guards against a pool that no instance may use because each share of it is
// less than one retry, as in the first seconds of traffic on 76 instances.
func TestSmallShares(t *testing.T) {
	b := New(Options{Window: 10000, Ratio: 0.9, Slack: 0})
	peers := PeerCounts{Requests: 300, Instances: 75, Age: 1000}
	first, second := b.TryWithdraw(0, "s", 76, 0, peers), b.TryWithdraw(1, "s", 76, 0, peers)
	if !first || second {
		t.Errorf("share of half a retry in 1.5 s: got %v and %v at once, want true and false", first, second)
	}
	if b.TryWithdraw(2000, "s", 76, 0, peers) {
		t.Error("second retry after 2 s: got true, want false")
	}
	if !b.TryWithdraw(6000, "s", 76, 0, peers) {
		t.Error("second retry after 6 s: got false, want true")
	}
}

// Guards against failed connections that exhaust the budget although nothing was
// sent. Seen on kseal-router-grown, trouble-1.
func TestRefund(t *testing.T) {
	b := New(Options{Window: 10000, Ratio: 0, Slack: 10})
	for i := range 100 {
		if !b.TryWithdraw(clock.Millis(i), "s", 1, 0, PeerCounts{}) {
			t.Fatalf("retry %d: refused although none was sent", i)
		}
		b.Refund(clock.Millis(i), "s")
	}
}

// Guards against a reserve without effect: less important retries must end
// before the more important ones.
func TestReserve(t *testing.T) {
	b := New(Options{Window: 10000, Ratio: 0.9, Slack: 0})
	for range 100 {
		b.RecordRequest(0, "s")
	}
	count := func(reserve float64) int {
		n := 0
		for b.TryWithdraw(1, "s", 1, reserve, PeerCounts{}) {
			n++
		}
		return n
	}
	if got := count(0.5); got == 0 {
		t.Error("no retry allowed although half of the budget is available")
	}
	if got := count(0); got == 0 {
		t.Error("less important retries have used up the reserve")
	}
}
