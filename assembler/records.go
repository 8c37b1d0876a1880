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
	"rosemaryarch.example/rosemaryarch/linker"
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
	billInterval = clock.Second
	// ledgerInterval is the least time between two commits of one shard of bills.
	ledgerInterval = 2 * clock.Second
	// The rings of 64 shards hold 5 million bills (245 each second over the
	// retention) and 157,000 orders (1.8 each second), computed from the sizes of
	// their records. A longer ring costs more reads when a shard gets a new writer.
	ledgerSegments  = 32
	ledgerRetention = 6 * clock.Hour
	recordSegments  = 16
	recordRetention = 24 * clock.Hour
	// pinPause is how long pins are not read after the store did not answer.
	pinPause   = clock.Second
	pinTimeout = 5 * time.Second
	// lookTimeout bounds the search for the pin of a session that came without
	// its token.
	lookTimeout = 300 * time.Millisecond
	maxPinning  = 1024 // pins that are being committed
)

// errNoBackup tells that no live instance of another data centre is known.
var errNoBackup = errors.New("assembler: no instance in another data centre")

// billMessage carries bills between instances. From is the member that serves
// the requests.
type billMessage struct {
	Shard string        `cbor:"shard,omitempty"`
	From  string        `cbor:"from,omitempty"`
	Bills []biller.Bill `cbor:"bills"`
}

func (i *Instance) memberName() string {
	return allocator.MemberName(i.settings.Instance, i.incarnation)
}

func (i *Instance) buildRecords() {
	i.biller = biller.New(i.ledger, i.clock)
	i.biller.Commit = i.commitBills
	i.biller.Hold = i.holdBill
	i.biller.Release = i.releaseBills
	i.pinner = pinner.New(i.committer, i.clock)
	i.pinner.Commit = func(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
		return i.forward(ctx, kindPinCommit, shard, key, change, i.pinner.CommitLocal)
	}
	i.pinning = make(chan struct{}, maxPinning)
	i.handleCommit(kindPinCommit, i.pinner.CommitLocal)
	i.handleBills(kindBillCommit, func(ctx context.Context, m billMessage) error {
		return i.biller.CommitLocal(ctx, m.Shard, m.Bills)
	})
	i.handleBills(kindBillHold, func(_ context.Context, m billMessage) error {
		for _, b := range m.Bills {
			if err := i.biller.Keep(b, m.From); err != nil {
				return err
			}
		}
		return nil
	})
	i.handleBills(kindBillRelease, func(_ context.Context, m billMessage) error {
		i.biller.Drop(m.Bills, m.From)
		return nil
	})
}

func (i *Instance) handleBills(kind string, handle func(context.Context, billMessage) error) {
	i.links.Handle(kind, func(ctx context.Context, e linker.Envelope) ([]byte, error) {
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
	_, err = i.links.Call(ctx, m.Address, kind, body)
	return err
}

// commitBills commits bills through the shard's preferred writer, and through
// this instance if that fails: a bill that is committed twice stays one.
func (i *Instance) commitBills(ctx context.Context, shard string, bills []biller.Bill) error {
	w := i.writer(shard)
	if w.ID != i.settings.Instance && w.ID != "" {
		forward, cancel := context.WithTimeout(ctx, forwardTimeout)
		err := i.sendBills(forward, w, kindBillCommit, billMessage{Shard: shard, Bills: bills})
		cancel()
		if err == nil || errors.Is(err, linker.ErrRefused) {
			return err
		}
	}
	return i.biller.CommitLocal(ctx, shard, bills)
}

// holdBill gives a bill to a live instance of another data centre.
func (i *Instance) holdBill(ctx context.Context, b biller.Bill) (string, error) {
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

func (i *Instance) releaseBills(ctx context.Context, backup string, bills []biller.Bill) error {
	for _, m := range i.gossip.Members() {
		if m.ID == backup && m.State != gossiper.Dead {
			return i.sendBills(ctx, m, kindBillRelease, billMessage{From: i.memberName(), Bills: bills})
		}
	}
	return nil // the backup is gone, and its memory with it
}

// tickDeaths makes the bills of dead processes due: those of dead members, and
// those of members that run again under a new incarnation.
func (i *Instance) tickDeaths(clock.Millis) {
	for _, m := range i.gossip.Members() {
		last, known := i.incarnations[m.ID]
		if known && m.Process() > last {
			i.biller.Died(allocator.MemberName(m.ID, last))
		}
		i.incarnations[m.ID] = m.Process()
		if name := allocator.MemberName(m.ID, m.Process()); m.State == gossiper.Dead && !i.deathsReported[name] {
			i.deathsReported[name] = true
			i.biller.Died(name)
		}
	}
}

// bill takes over the bill of a request that this instance has served.
func (i *Instance) bill(ctx context.Context, b router.Bill) {
	err := i.biller.Add(ctx, biller.Bill{
		Workspace: b.Workspace, RequestID: b.RequestID, Version: b.Version,
		TokensIn: uint64(b.TokensIn), TokensOut: uint64(b.TokensOut), Cost: uint64(b.Cost),
	})
	if err != nil {
		i.meter.Event("bill_lost")
		klog.Errorf("assembler: bill of %s/%s: %v", b.Workspace, b.RequestID, err)
	}
}

// drainBills commits the bills that are held until none is left or ctx ends.
func (i *Instance) drainBills(ctx context.Context) bool {
	for {
		i.biller.Settle()
		err := i.biller.Flush(ctx)
		if _, held := i.biller.Counts(); err == nil && held == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(billInterval.Duration()):
		}
	}
}

// storedPin returns the version that a session is pinned to, or "".
func (i *Instance) storedPin(ctx context.Context, workspace, session string) string {
	now := i.clock.Now()
	if now < clock.Millis(i.pinsDown.Load()) {
		i.meter.Event("session_pin_unknown")
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	version, err := i.pinner.Look(ctx, workspace, session)
	if err != nil {
		i.pinsDown.Store(int64(now + pinPause))
		i.meter.Event("session_pin_unknown")
	}
	return version
}

// storePin records the version of a session in the background: the token that
// goes to the caller already names it.
func (i *Instance) storePin(workspace, session, version, displaced string) {
	select {
	case i.pinning <- struct{}{}:
	default:
		i.meter.Event("session_pin_dropped")
		return
	}
	go func() {
		defer func() { <-i.pinning }()
		ctx, cancel := context.WithTimeout(context.Background(), pinTimeout)
		defer cancel()
		if _, err := i.pinner.Pin(ctx, workspace, session, version, displaced); err != nil {
			i.meter.Event("session_pin_failed")
		}
	}()
}
