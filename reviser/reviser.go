package reviser

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storer"
)

const (
	maxConflicts   = 32 // each one means that another write was accepted
	maxSettleTries = 5  // reads and repeats after a lost answer
	settleDelay    = 200 * clock.Millis(1)
	conflictDelay  = 20 * clock.Millis(1)
)

// ErrNotRecorded tells that no recent change has the given id.
var ErrNotRecorded = errors.New("reviser: no recent change has this id")

// Reviser writes the fleet object. The function fields may be replaced before
// the first call; those without a default may be nil.
type Reviser struct {
	Store storer.Store
	// Validate checks a text before it is stored.
	Validate func(text string) error
	// CheckDataCentre and CheckEndpoint report whether the text names the data
	// centre or endpoint; they return a refusal.
	CheckDataCentre func(text, name string) error
	CheckEndpoint   func(text, name string) error
	// MayWrite refuses a write that could not reach the instances that serve;
	// see follower.Follower.MayAccept.
	MayWrite func() error
	// Accepted is called after a write took effect, with the stored value, its
	// version and the instant before the write.
	Accepted func(value []byte, version uint64, asked clock.Millis)
	// Now returns the present instant.
	Now func() clock.Millis
	// Wait pauses between two tries. It returns early with the context's error.
	Wait func(ctx context.Context, d clock.Millis) error
	// Random fills b with random bytes.
	Random func(b []byte)
}

// New returns a reviser for the store.
func New(s storer.Store, c clock.Clock) *Reviser {
	return &Reviser{
		Store:  s,
		Now:    c.Now,
		Wait:   wait,
		Random: func(b []byte) { _, _ = rand.Read(b) }, // never fails
	}
}

func wait(ctx context.Context, d clock.Millis) error {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// edit is one intended change. prepare checks it against the stored object and
// returns the modification.
type edit struct {
	id, what string
	prepare  func(Object) (func(*Object), error)
}

// Apply replaces the text that was edited from the given revision (0 creates
// the object) and returns the accepted object. What is out stays out.
// The refusals are refuser.ErrInvalidBody (no id), ErrKeyReused, ErrNotReady, ErrStoreUnavailable,
// ErrDeadline, ErrRevisionConflict, ErrBodyTooLarge and ErrChangeUnknown, and
// refuser.ErrInvalidConfig if Validate refuses the text.
func (r *Reviser) Apply(ctx context.Context, text string, fromRevision uint64, changeID string) (Object, error) {
	if r.Validate != nil {
		if err := r.Validate(text); err != nil {
			return Object{}, refuser.ErrInvalidConfig.WithMessage("%v", err)
		}
	}
	what := fmt.Sprintf("text %x", sha256.Sum256([]byte(text)))
	first := make([]byte, sessionKeyBytes)
	r.Random(first)
	return r.write(ctx, edit{changeID, what, func(o Object) (func(*Object), error) {
		if o.Revision != fromRevision {
			return nil, refuser.ErrRevisionConflict.WithMessage(
				"the text was edited from revision %d, the stored revision is %d:\n%s",
				fromRevision, o.Revision, difference(o.Text, text))
		}
		return func(n *Object) {
			n.Text = text
			if len(n.SessionKeys) == 0 { // without a key, sessions would get no tokens
				n.SessionKeys = [][]byte{first}
			}
		}, nil
	}})
}

// SetDataCentre takes a data centre out of service or brings it back.
// The errors are those of Apply and of the check of the name.
func (r *Reviser) SetDataCentre(ctx context.Context, name string, out bool, changeID string) (Object, error) {
	what := fmt.Sprintf("data_centre %s %s", name, direction(out))
	return r.write(ctx, edit{changeID, what, func(o Object) (func(*Object), error) {
		if err := check(r.CheckDataCentre, o.Text, name, out); err != nil {
			return nil, err
		}
		return func(n *Object) { n.DataCentresOut = set(o.DataCentresOut, name, out) }, nil
	}})
}

// SetEndpoint takes an endpoint out of service or brings it back.
// The errors are those of Apply and of the check of the name.
func (r *Reviser) SetEndpoint(ctx context.Context, name string, out bool, changeID string) (Object, error) {
	what := fmt.Sprintf("endpoint %s %s", name, direction(out))
	return r.write(ctx, edit{changeID, what, func(o Object) (func(*Object), error) {
		if err := check(r.CheckEndpoint, o.Text, name, out); err != nil {
			return nil, err
		}
		return func(n *Object) { n.EndpointsOut = set(o.EndpointsOut, name, out) }, nil
	}})
}

// RotateSessionKey adds a new session key in front and drops the oldest.
// The errors are those of Apply.
func (r *Reviser) RotateSessionKey(ctx context.Context, changeID string) (Object, error) {
	key := make([]byte, sessionKeyBytes)
	r.Random(key)
	return r.write(ctx, edit{changeID, "session_key", func(o Object) (func(*Object), error) {
		keys := append([][]byte{key}, o.SessionKeys...)
		return func(n *Object) { n.SessionKeys = keys[:min(len(keys), keptSessionKeys)] }, nil
	}})
}

// Outcome returns the change with the given id. It returns ErrNotRecorded if
// the object holds no such change among its last 64, and
// refuser.ErrChangeUnknown if the object cannot be read. A write whose answer
// was lost may still be under way when ErrNotRecorded is returned.
func (r *Reviser) Outcome(ctx context.Context, changeID string) (Change, error) {
	o, _, err := r.read(ctx)
	if err != nil {
		return Change{}, unknown(changeID, err)
	}
	c, ok := o.Change(changeID)
	if !ok {
		return Change{}, errors.Wrapf(ErrNotRecorded, "%q at revision %d", changeID, o.Revision)
	}
	return c, nil
}

func direction(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// check lets a name come back that the text no longer has.
func check(f func(text, name string) error, text, name string, out bool) error {
	if f == nil || !out {
		return nil
	}
	return f(text, name)
}

func unknown(id string, err error) error {
	return refuser.ErrChangeUnknown.WithMessage("change %q may have taken effect; ask for its outcome later: %v", id, err)
}
