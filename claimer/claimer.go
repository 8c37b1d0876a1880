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

// ErrNotSent marks an error of a Run which proves that the request was not sent
// and never will be.
var ErrNotSent = errors.New("claimer: nothing was sent")

// Call is one non-idempotent call.
type Call struct {
	Workspace, Service, Key string       // Key is the idempotency key
	BodyHash                []byte       // identifies the request body; a key may be used with one body only
	Deadline                clock.Millis // instant on the claimer's clock
}

// Answer is the response of a service. If its body is larger than
// Claimer.MaxAnswerBytes, only the SHA-256 digest of the body is stored.
type Answer struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"content_type,omitempty"`
	Body        []byte `cbor:"body,omitempty"`
	Digest      []byte `cbor:"digest,omitempty"` // SHA-256 of a body that is not stored
}

// State is the state of an attempt as reported by its instance or by the
// service.
type State string

// QueryAttempt returns Running, Dispatched, Abandoned or Unreachable. LookUp
// returns Done, NotExecuted or Unknown.
const (
	Running     State = "running"     // may still be sent, or its result is pending
	Dispatched  State = "dispatched"  // may have been sent, and its outcome is unknown
	Abandoned   State = "abandoned"   // was not sent and never will be
	Unreachable State = "unreachable" // the instance does not answer
	Done        State = "done"        // the service ran the attempt and returns its answer
	NotExecuted State = "not_run"     // the service states that it has not run the attempt and never will
	Unknown     State = "cannot_tell" // the service does not know the outcome
)

// Run sends the call once. An error marked with ErrNotSent proves that nothing
// was sent; after any other error the call may have been executed.
type Run = func(ctx context.Context, attempt string) (Answer, error)

// Claimer executes calls. Fields are set by New and may be replaced before the
// first call. It is safe for concurrent use.
type Claimer struct {
	// Commit applies an encoded change to the record and returns the resulting
	// record. Its errors are those of committer.Committer.Submit. It may forward the
	// change to the shard's preferred writer, which calls CommitLocal.
	Commit func(ctx context.Context, shard, key string, change []byte) ([]byte, error)
	// QueryAttempt returns the State of an attempt as the instance that made it
	// reports it, or Unreachable.
	QueryAttempt func(ctx context.Context, instance, attempt string) State
	// LookUp asks the service for the outcome of an attempt. It is nil if the
	// service offers no look-up. It must not return NotExecuted while the
	// request can still arrive at the service.
	LookUp func(ctx context.Context, call Call, attempt string) (Answer, State)
	// Sleep waits for the duration d or until the context ends.
	Sleep func(ctx context.Context, d clock.Millis)

	Shards             int          // number of shards
	MaxAnswerBytes     int          // size in bytes of the largest body that is stored
	DispatchWindow     clock.Millis // longest time from the start of an attempt to its dispatch
	PollInterval       clock.Millis // pause between two polls of an attempt's state and between commit tries
	MaxStatePolls      int          // polls of an unreachable instance, and look-ups, before the outcome is unknown
	RunTimeout         clock.Millis // timeout of one run, which continues after the caller has left, and of its look-ups
	CommitWait         clock.Millis // longest time for which an answer waits to be committed
	MaxPendingOutcomes int          // largest number of outcomes waiting to be committed
	MaxUnknownOutcomes int          // largest number of attempts with an unknown outcome in memory

	// DroppedOutcomes counts outcomes that were dropped because
	// MaxPendingOutcomes others were waiting to be committed.
	DroppedOutcomes atomic.Uint64

	committer    *committer.Committer
	clock        clock.Clock
	instance     string
	incarnation  uint64
	table        table
	pending      sync.WaitGroup
	pendingCount atomic.Int64
	stop         context.Context
	cancel       context.CancelFunc
}

// New returns a claimer that commits through m. The pair of instance and
// incarnation must never be reused.
func New(m *committer.Committer, c clock.Clock, instance string, incarnation uint64) *Claimer {
	r := &Claimer{
		Shards: 64, MaxAnswerBytes: 2048, DispatchWindow: clock.Minute, PollInterval: 100, MaxStatePolls: 3,
		RunTimeout: 5 * clock.Minute, CommitWait: 2 * clock.Second, MaxPendingOutcomes: 10_000,
		MaxUnknownOutcomes: 100_000, committer: m, clock: c, instance: instance, incarnation: incarnation, table: newTable(),
	}
	r.Commit = r.CommitLocal
	r.QueryAttempt = func(context.Context, string, string) State { return Unreachable }
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

// recordOverheadBytes is an upper bound of the size of an encoded record
// without the body of the answer.
const recordOverheadBytes = 320

// CommitLocal applies an encoded change through this instance's committer.
// The errors are those of committer.Committer.Submit.
func (c *Claimer) CommitLocal(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
	apply := func(old []byte) ([]byte, error) { return Apply(old, change) }
	reserve := c.MaxAnswerBytes + recordOverheadBytes
	if isFinal(change) {
		reserve = 0
	}
	return c.committer.Submit(ctx, shard, key, committer.Change{Apply: apply, ReserveBytes: reserve})
}

// recordLocation returns the shard and the key of the record of a call.
func (c *Claimer) recordLocation(call Call) (shard, key string) {
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

// commit applies ch to the call's record and returns the resulting record.
func (c *Claimer) commit(ctx context.Context, call Call, ch change) (callRecord, error) {
	ch.BodyHash = call.BodyHash
	encoded, err := cbor.Marshal(ch)
	if err != nil {
		return callRecord{}, errors.Wrap(err, "claimer: encode change")
	}
	shard, key := c.recordLocation(call)
	value, err := c.Commit(ctx, shard, key, encoded)
	if err != nil {
		return callRecord{}, err
	}
	var r callRecord
	if len(value) == 0 {
		return r, nil // no record: its retention has expired
	}
	if err := cbor.Unmarshal(value, &r); err != nil {
		return callRecord{}, errors.Mark(errors.Wrap(err, "claimer: decode record"), committer.ErrUnknown)
	}
	return r, nil
}

// storedAnswer returns the answer in its stored form: a large body is replaced
// by its digest, and a long content type is truncated.
func (c *Claimer) storedAnswer(a Answer) *Answer {
	if len(a.Body) > c.MaxAnswerBytes {
		sum := sha256.Sum256(a.Body)
		a.Body, a.Digest = nil, sum[:]
	}
	if len(a.ContentType) > maxContentTypeBytes {
		a.ContentType = a.ContentType[:maxContentTypeBytes]
	}
	return &a
}

const maxContentTypeBytes = 64

// Drain waits until no outcome is waiting to be committed, or until ctx ends,
// and reports whether none is.
func (c *Claimer) Drain(ctx context.Context) bool {
	done := make(chan struct{})
	go func() {
		c.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Close stops the retries that commit outcomes. It does not stop calls in progress.
func (c *Claimer) Close() { c.cancel() }
