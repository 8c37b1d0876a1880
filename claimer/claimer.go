package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/committer"
)

// ErrNotSent marks an error of a run which proves that nothing was sent and
// nothing will be.
var ErrNotSent = errors.New("claimer: nothing was sent")

// Call is one non-idempotent call.
type Call struct {
	Workspace, Service, Key string
	BodyHash                []byte
	Deadline                clock.Millis // instant on the claimer's clock
}

// Answer is the response of a service. A body above the bound is kept as its
// SHA-256 digest only.
type Answer struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"content_type,omitempty"`
	Body        []byte `cbor:"body,omitempty"`
	Digest      []byte `cbor:"digest,omitempty"` // of a body that was not kept
}

// State is what is known of an attempt.
type State string

// Running, Dispatched, Abandoned and Unreachable answer AskAttempt; Done, NotRun
// and CannotTell answer LookUp.
const (
	Running     State = "running"     // may still be sent, or its result is awaited
	Dispatched  State = "dispatched"  // may have been sent, and its result is lost
	Abandoned   State = "abandoned"   // was not sent and never will be
	Unreachable State = "unreachable" // the instance does not answer
	Done        State = "done"        // the service ran the attempt and gives its answer
	NotRun      State = "not_run"     // the service vouches that it has not run the attempt and never will
	CannotTell  State = "cannot_tell"
)

// Run sends the call once. An error marked with ErrNotSent proves that nothing
// was sent; any other error leaves the outcome open.
type Run = func(ctx context.Context, attempt string) (Answer, error)

// Claimer executes calls. Fields are set by New and may be replaced before the
// first call. It is safe for concurrent use.
type Claimer struct {
	// Commit applies an encoded change to the record and returns the record
	// after it, with the errors of committer. It may forward the change to the
	// shard's preferred writer, which calls CommitLocal.
	Commit func(ctx context.Context, shard, key string, change []byte) ([]byte, error)
	// AskAttempt asks the instance that made the attempt for its State.
	AskAttempt func(ctx context.Context, instance, attempt string) State
	// LookUp asks the service for the outcome. Nil: it offers no look-up. It
	// must not say NotRun for a call that can still arrive.
	LookUp func(ctx context.Context, call Call, attempt string) (Answer, State)
	// Sleep waits for a span or until the context ends.
	Sleep func(ctx context.Context, d clock.Millis)

	Shards       int          // number of shards
	AnswerBytes  int          // largest body that is kept
	Window       clock.Millis // from the start of an attempt to its dispatch
	Poll         clock.Millis // between two looks at another's attempt
	AskTries     int          // looks at an unreachable instance
	RunTimeout   clock.Millis // of one run, which outlives the caller
	CommitWait   clock.Millis // for which an answer waits to be committed
	MaxUnsettled int          // outcomes that wait for the store
	MaxLost      int          // remembered attempts with a lost outcome

	// Overflowed counts outcomes that were given up because MaxUnsettled others
	// waited for the store.
	Overflowed atomic.Uint64

	committer   *committer.Committer
	clock       clock.Clock
	instance    string
	incarnation uint64
	table       table
	unsettled   sync.WaitGroup
	waiting     atomic.Int64
	stop        context.Context
	cancel      context.CancelFunc
}

// New returns a claimer that commits through m. The pair of instance and
// incarnation must never be reused.
func New(m *committer.Committer, c clock.Clock, instance string, incarnation uint64) *Claimer {
	r := &Claimer{
		Shards: 64, AnswerBytes: 2048, Window: clock.Minute, Poll: 100, AskTries: 3,
		RunTimeout: 5 * clock.Minute, CommitWait: 2 * clock.Second, MaxUnsettled: 10_000,
		MaxLost: 100_000, committer: m, clock: c, instance: instance, incarnation: incarnation, table: newTable(),
	}
	r.Commit = r.CommitLocal
	r.AskAttempt = func(context.Context, string, string) State { return Unreachable }
	r.Sleep = sleep
	r.stop, r.cancel = context.WithCancel(context.Background())
	return r
}

func sleep(ctx context.Context, d clock.Millis) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// recordOverhead is an upper bound of the size of a record beyond the body.
const recordOverhead = 320

// CommitLocal applies an encoded change through this instance's committer.
// The errors are those of committer.
func (c *Claimer) CommitLocal(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
	apply := func(old []byte) ([]byte, error) { return Apply(old, change) }
	reserve := c.AnswerBytes + recordOverhead
	if final(change) {
		reserve = 0
	}
	return c.committer.Submit(ctx, shard, key, committer.Change{Apply: apply, Reserve: reserve})
}

// place returns the shard and the record key of a call.
func (c *Claimer) place(call Call) (shard, key string) {
	h := sha256.New()
	for _, part := range []string{call.Workspace, call.Service, call.Key} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	key = base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:24])
	return fmt.Sprintf("orders/%d", xxhash.Sum64String(key)%uint64(c.Shards)), key
}

// commit applies h to the call's record and returns the record after it.
func (c *Claimer) commit(ctx context.Context, call Call, h change) (claim, error) {
	h.BodyHash = call.BodyHash
	encoded, err := cbor.Marshal(h)
	if err != nil {
		return claim{}, errors.Wrap(err, "claimer: encode change")
	}
	shard, key := c.place(call)
	value, err := c.Commit(ctx, shard, key, encoded)
	if err != nil {
		return claim{}, err
	}
	var r claim
	if len(value) == 0 {
		return r, nil // no record: the claim is past retention
	}
	if err := cbor.Unmarshal(value, &r); err != nil {
		return claim{}, errors.Mark(errors.Wrap(err, "claimer: decode claim"), committer.ErrUnknown)
	}
	return r, nil
}

// kept returns the answer as it is stored.
func (c *Claimer) kept(a Answer) *Answer {
	if len(a.Body) > c.AnswerBytes {
		sum := sha256.Sum256(a.Body)
		a.Body, a.Digest = nil, sum[:]
	}
	if len(a.ContentType) > maxContentType {
		a.ContentType = a.ContentType[:maxContentType]
	}
	return &a
}

const maxContentType = 64

// Drain waits until every outcome is committed, or until ctx ends, and reports
// whether all are.
func (c *Claimer) Drain(ctx context.Context) bool {
	done := make(chan struct{})
	go func() {
		c.unsettled.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Close ends the attempts to commit outcomes. Calls in progress end on their own.
func (c *Claimer) Close() { c.cancel() }
