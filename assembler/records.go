package assembler

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/allocator"
	"rosemaryarch.example/rosemaryarch/biller"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/messenger"
	"rosemaryarch.example/rosemaryarch/pinner"
	"rosemaryarch.example/rosemaryarch/router"
)

// Kinds of the messages about bills and pins.
const (
	kindBillCommit  = "bill_commit"
	kindBillHold    = "bill_hold"
	kindBillRelease = "bill_release"
	kindPinCommit   = "pin_commit"
)

const (
	billRunInterval = clock.Second
	// billCommitInterval is the shortest time between two commits to one shard of
	// bills.
	billCommitInterval = 2 * clock.Second
	// Capacity, computed from the record sizes: the segment rings of 64 shards hold
	// 5 million bills (245 per second over the retention) and 157,000 call records
	// (1.8 per second). A longer ring needs more reads when the writer of a shard
	// changes.
	billSegments    = 32
	billRetention   = 6 * clock.Hour
	recordSegments  = 16
	recordRetention = 24 * clock.Hour
	// pinReadPause is the time without reads of session pins after a failed read.
	pinReadPause     = clock.Second
	pinCommitTimeout = 5 * time.Second
	// pinLookupTimeout bounds the lookup of a pin for a request that has a session
	// id but no valid session token.
	pinLookupTimeout = 300 * time.Millisecond
	maxPinCommits    = 1024 // concurrent commits of session pins
)

// errNoBackup is returned if no alive instance in another data centre is known.
var errNoBackup = errors.New("assembler: no alive instance in another data centre")

// billMessage carries bills between instances. Shard is set in bill_commit only;
// From, the member that served the requests, in bill_hold and bill_release.
type billMessage struct {
	Shard string        `cbor:"shard,omitempty"`
	From  string        `cbor:"from,omitempty"`
	Bills []biller.Bill `cbor:"bills"`
}

func (i *Instance) memberName() string {
	return allocator.MemberName(i.settings.Instance, i.incarnation)
}

// buildRecords creates the components that store bills and session pins, and
// handles the messages about them.
func (i *Instance) buildRecords() {
	i.biller = biller.New(i.billCommitter, i.clock)
	i.biller.Commit = i.commitBills
	i.biller.SendBackup = i.sendBackup
	i.biller.SendRelease = i.sendRelease
	i.pinner = pinner.New(i.committer, i.clock)
	i.pinner.Commit = func(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
		return i.forward(ctx, kindPinCommit, shard, key, change, i.pinner.CommitLocal)
	}
	i.pinCommits = make(chan struct{}, maxPinCommits)
	i.handleCommit(kindPinCommit, i.pinner.CommitLocal)
	i.handleBills(kindBillCommit, func(ctx context.Context, m billMessage) error {
		return i.biller.CommitLocal(ctx, m.Shard, m.Bills)
	})
	i.handleBills(kindBillHold, func(_ context.Context, m billMessage) error {
		for _, b := range m.Bills {
			if err := i.biller.HoldBackup(b, m.From); err != nil {
				return err
			}
		}
		return nil
	})
	i.handleBills(kindBillRelease, func(_ context.Context, m billMessage) error {
		i.biller.ReleaseBackup(m.Bills, m.From)
		return nil
	})
}

func (i *Instance) handleBills(kind string, handle func(context.Context, billMessage) error) {
	i.messenger.Handle(kind, func(ctx context.Context, e messenger.Envelope) ([]byte, error) {
		var m billMessage
		if err := cbor.Unmarshal(e.Body, &m); err != nil {
			return nil, errors.Wrap(err, "assembler: decode bills")
		}
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		return nil, handle(ctx, m)
	})
}

func (i *Instance) sendBills(ctx context.Context, m gossiper.Member, kind string, message billMessage) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "assembler: encode bills")
	}
	_, err = i.messenger.Call(ctx, m.Address, kind, body)
	return err
}

// commitBills commits bills through the preferred writer of the shard. If it
// cannot be reached or does not answer, this instance commits them itself; a bill
// that is committed twice is stored once.
func (i *Instance) commitBills(ctx context.Context, shard string, bills []biller.Bill) error {
	w := i.preferredWriter(shard)
	if w.ID != i.settings.Instance && w.ID != "" {
		forwardCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		err := i.sendBills(forwardCtx, w, kindBillCommit, billMessage{Shard: shard, Bills: bills})
		cancel()
		if err == nil || errors.Is(err, messenger.ErrRefused) {
			return err
		}
	}
	return i.biller.CommitLocal(ctx, shard, bills)
}

// sendBackup copies a bill to an alive instance in another data centre as a backup,
// and returns the id of that instance.
func (i *Instance) sendBackup(ctx context.Context, b biller.Bill) (string, error) {
	var others []gossiper.Member
	for _, m := range i.gossip.Members() {
		if m.State == gossiper.Alive && m.DataCentre != i.settings.DataCentre {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return "", errNoBackup
	}
	m := others[int(i.attempts.Add(1))%len(others)]
	return m.ID, i.sendBills(ctx, m, kindBillHold, billMessage{From: i.memberName(), Bills: []biller.Bill{b}})
}

// sendRelease tells the instance with the backups that the bills are committed.
func (i *Instance) sendRelease(ctx context.Context, backup string, bills []biller.Bill) error {
	for _, m := range i.gossip.Members() {
		if m.ID == backup && m.State != gossiper.Dead {
			return i.sendBills(ctx, m, kindBillRelease, billMessage{From: i.memberName(), Bills: bills})
		}
	}
	return nil // the process that held the backups in memory has ended
}

// tickDeadMembers makes the backup bills of processes that have ended due for
// commit: of members that are dead, and of instances that have restarted with a
// new incarnation.
func (i *Instance) tickDeadMembers(clock.Millis) {
	for _, m := range i.gossip.Members() {
		last, known := i.newestIncarnations[m.ID]
		if known && m.Process() > last {
			i.biller.MarkDeadDue(allocator.MemberName(m.ID, last))
		}
		i.newestIncarnations[m.ID] = m.Process()
		if name := allocator.MemberName(m.ID, m.Process()); m.State == gossiper.Dead && !i.reportedDeaths[name] {
			i.reportedDeaths[name] = true
			i.biller.MarkDeadDue(name)
		}
	}
}

// addBill records the bill of a request that this instance has served.
func (i *Instance) addBill(ctx context.Context, b router.Bill) {
	err := i.biller.Add(ctx, biller.Bill{
		Workspace: b.Workspace, RequestID: b.RequestID, Version: b.Version,
		TokensIn: uint64(b.TokensIn), TokensOut: uint64(b.TokensOut), CostMicros: uint64(b.Cost),
	})
	if err != nil {
		i.meter.CountEvent("bill_lost")
		klog.Errorf("assembler: the bill of request %s/%s is lost: %v", b.Workspace, b.RequestID, err)
	}
}

// drainBills commits all bills that this instance holds. It reports false if ctx
// ends before.
func (i *Instance) drainBills(ctx context.Context) bool {
	for {
		i.biller.MarkAllDue()
		err := i.biller.Flush(ctx)
		if _, held := i.biller.Counts(); err == nil && held == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(billRunInterval.Duration()):
		}
	}
}

// storedPin returns the version that a session is pinned to, or "".
func (i *Instance) storedPin(ctx context.Context, workspace, session string) string {
	now := i.clock.Now()
	if now < clock.Millis(i.pinReadsPausedUntil.Load()) {
		i.meter.CountEvent("session_pin_unknown")
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, pinLookupTimeout)
	defer cancel()
	version, err := i.pinner.Lookup(ctx, workspace, session)
	if err != nil {
		i.pinReadsPausedUntil.Store(int64(now + pinReadPause))
		i.meter.CountEvent("session_pin_unknown")
	}
	return version
}

// storePin commits the version of a session in the background. The answer need not
// wait for the commit, since the session token in the answer contains the version too.
func (i *Instance) storePin(workspace, session, version, displaced string) {
	select {
	case i.pinCommits <- struct{}{}:
	default:
		i.meter.CountEvent("session_pin_dropped")
		return
	}
	go func() {
		defer func() { <-i.pinCommits }()
		ctx, cancel := context.WithTimeout(context.Background(), pinCommitTimeout)
		defer cancel()
		if _, err := i.pinner.Pin(ctx, workspace, session, version, displaced); err != nil {
			i.meter.CountEvent("session_pin_failed")
		}
	}()
}
