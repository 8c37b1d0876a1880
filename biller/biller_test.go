package biller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// fleet is several billers that share one store. Each is the backup of the
// previous one.
type fleet struct {
	clock        *clock.Manual
	emulator     *storeemulator.Emulator
	billers      []*Biller
	dead         map[int]bool
	messagesLost bool // all messages between instances are lost
}

var errLost = errors.New("message lost")

func newFleet(n int) *fleet {
	f := &fleet{clock: clock.NewManual(0), emulator: storeemulator.New(), dead: map[int]bool{}}
	for i := range n {
		m := committer.New(f.emulator.Store(), f.clock.Clock(), committer.Options{
			Instance: fmt.Sprint(i), Segments: 64, SegmentBytes: 400, Retention: clock.Hour,
		})
		m.Sleep = func(_ context.Context, d clock.Millis) {
			f.clock.Advance(d)
			time.Sleep(20 * time.Microsecond)
		}
		b := New(m, f.clock.Clock())
		b.Shards, b.CallTimeout = 2, 5
		next := (i + 1) % n
		b.SendBackup = func(_ context.Context, bill Bill) (string, error) {
			if f.messagesLost || f.dead[next] {
				return "", errLost
			}
			return fmt.Sprint(next), f.billers[next].HoldBackup(bill, fmt.Sprint(i))
		}
		b.SendRelease = func(_ context.Context, _ string, bills []Bill) error {
			if f.messagesLost || f.dead[next] {
				return errLost
			}
			f.billers[next].ReleaseBackup(bills, fmt.Sprint(i))
			return nil
		}
		f.billers = append(f.billers, b)
	}
	return f
}

// stored returns the number of stored records of each bill over all segments.
func (f *fleet) stored(t interface{ Fatal(...any) }) map[string]int {
	objects, err := f.emulator.Store().List(context.Background(), "bills/")
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]int{}
	for _, o := range objects {
		var segment struct {
			Records map[string]cbor.RawMessage `cbor:"records"`
		}
		if err := cbor.Unmarshal(o.Value, &segment); err != nil {
			t.Fatal(err)
		}
		for k := range segment.Records {
			found[k]++
		}
	}
	return found
}

func bill(id int) Bill {
	return Bill{Workspace: "w", RequestID: fmt.Sprint("r", id), Version: "m@1", TokensIn: 10, TokensOut: 5, CostMicros: 70}
}

// TestHolderFaults guards against a bill that is lost or duplicated when its
// holder or backup dies, a message is lost, or the store is down for minutes.
func TestHolderFaults(t *testing.T) {
	ctx := context.Background()
	inject := func(x storeemulator.Faults) func(*fleet) { return func(f *fleet) { f.emulator.SetFaults(x) } }
	down, loseAnswer := inject(storeemulator.Faults{Down: true}), inject(storeemulator.Faults{LoseWriteAnswers: 1})
	flush := func(f *fleet) { _ = f.billers[0].Flush(ctx) }
	loseMessages := func(f *fleet) { f.messagesLost = true }
	holderDies := func(f *fleet) { f.dead[0] = true }
	reportDeath := func(f *fleet) { f.billers[1].MarkDeadDue("0") }
	backupDies := func(f *fleet) { f.dead[1] = true }
	tenMinutes := func(f *fleet) { f.clock.Advance(10 * clock.Minute) }
	repeat := func(f *fleet) { _ = f.billers[2].Add(ctx, bill(1)) }
	type steps = []func(*fleet)
	cases := map[string]struct {
		steps steps
		want  int
	}{
		"no fault":                     {steps{flush}, 1},
		"holder dies before commit":    {steps{holderDies, reportDeath}, 1},
		"holder dies unnoticed":        {steps{holderDies}, 1},
		"holder dies after commit":     {steps{loseMessages, flush, holderDies, reportDeath}, 1},
		"backup dies":                  {steps{backupDies, flush}, 1},
		"both die":                     {steps{holderDies, backupDies}, 0},
		"answer of the store is lost":  {steps{loseAnswer, flush}, 1},
		"store down, holder dies":      {steps{down, flush, holderDies, reportDeath}, 1},
		"outage of ten minutes":        {steps{down, flush, tenMinutes}, 1},
		"repeated at another instance": {steps{flush, repeat}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3)
			if err := f.billers[0].Add(ctx, bill(1)); err != nil {
				t.Fatal(err)
			}
			for _, step := range c.steps {
				step(f)
			}
			f.recoverAndFlush(t)
			if got := f.stored(t)[bill(1).key()]; got != c.want {
				t.Errorf("got %d stored bills, want %d", got, c.want)
			}
		})
	}
}

// recoverAndFlush ends all faults, lets the grace period pass and flushes the live
// instances, which must then hold no bills.
func (f *fleet) recoverAndFlush(t interface{ Fatalf(string, ...any) }) {
	f.emulator.SetFaults(storeemulator.Faults{})
	f.messagesLost = false
	f.clock.Advance(f.billers[0].BackupGrace)
	for i, b := range f.billers {
		b.CallTimeout = 10 * clock.Second
		if f.dead[i] {
			continue
		}
		if err := b.Flush(context.Background()); err != nil {
			t.Fatalf("flush: %v", err)
		}
		if c, held := b.Counts(); held != 0 {
			t.Fatalf("instance %d still holds %d bills: %+v", i, held, c)
		}
	}
}

// TestRepeatedBills guards against a second bill for a request id under any mix
// of repeated bills, outages, lost messages and lost answers over many segments.
func TestRepeatedBills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		added := map[string]bool{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			b := f.billers[random.IntN(3)]
			switch random.IntN(8) {
			case 0:
				f.emulator.SetFaults(storeemulator.Faults{Down: random.IntN(4) == 0, LoseWriteAnswers: random.IntN(4)})
			case 1:
				f.messagesLost = !f.messagesLost
			case 2:
				_ = b.Flush(context.Background())
			case 3:
				f.clock.Advance(clock.Millis(random.IntN(int(clock.Minute / 4))))
			default:
				x := bill(random.IntN(60))
				x.TokensOut = random.Uint64N(3)
				if err := b.Add(context.Background(), x); err != nil {
					t.Fatalf("add: %v", err)
				}
				added[x.key()] = true
			}
		}
		f.recoverAndFlush(t)
		got := f.stored(t)
		for k := range added {
			if got[k] != 1 {
				t.Fatalf("%s: got %d bills, want 1", k, got[k])
			}
		}
	})
}

// TestOverflow guards against unbounded memory in an outage and against a bill
// that is dropped without being counted.
func TestOverflow(t *testing.T) {
	f := newFleet(2)
	b := f.billers[0]
	b.MaxHeld = 2
	var refused int
	for i := range 5 {
		if err := b.Add(context.Background(), bill(i)); errors.Is(err, ErrOverflow) {
			refused++
		}
	}
	f.clock.Advance(b.MaxAge)
	b.dueBills()
	got, held := b.Counts()
	if want := (Counts{Overflowed: 3, Expired: 2}); got != want || refused != 3 || held != 0 {
		t.Errorf("got %+v, %d refused, %d held, want %+v, 3, 0", got, refused, held, want)
	}
	tooLong := bill(1)
	tooLong.RequestID = strings.Repeat("r", MaxRequestBytes+1)
	if err := b.Add(context.Background(), tooLong); !errors.Is(err, ErrInvalidBill) {
		t.Errorf("long id: got %v, want ErrInvalidBill", err)
	}
}
