package configwriter

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

const (
	maxConflicts    = 32 // tries of one change; each failed try means that another write was accepted
	maxResolveTries = 5  // reads and repeated writes after a lost answer
	resolveDelay    = 200 * clock.Millis(1)
	conflictDelay   = 20 * clock.Millis(1)
)

// ErrNotRecorded states that no recent change has the given id.
var ErrNotRecorded = errors.New("configwriter: no recent change has this id")

// Writer writes the fleet object. The function fields may be replaced before the
// first call. Those that New does not set may be nil.
type Writer struct {
	Store storeclient.Store
	// Validate checks a text before it is stored.
	Validate func(text string) error
	// CheckDataCentre and CheckEndpoint return a refusal if the text does not list
	// the data centre or endpoint.
	CheckDataCentre func(text, name string) error
	CheckEndpoint   func(text, name string) error
	// CheckWritable returns a refusal if a write could not be propagated to the
	// serving instances; see follower.Follower.CheckWritable.
	CheckWritable func() error
	// OnAccept is called after a write took effect, with the stored value, its
	// version and the instant at which the store call that confirmed it began.
	OnAccept func(value []byte, version uint64, startedAt clock.Millis)
	// Now returns the present instant.
	Now func() clock.Millis
	// Wait waits for the duration d. If ctx ends first, it returns the context's
	// error.
	Wait func(ctx context.Context, d clock.Millis) error
	// Random fills b with random bytes.
	Random func(b []byte)
}

// New returns a Writer for the store.
func New(s storeclient.Store, c clock.Clock) *Writer {
	return &Writer{
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

// edit is one requested change. prepare checks it against the stored object and
// returns the modification.
type edit struct {
	id, description string
	prepare         func(Object) (func(*Object), error)
}

// Apply replaces the configuration text if the object still has the revision
// fromRevision (0 creates the object), and returns the accepted object. Data
// centres and endpoints that are out of service stay out.
// The errors are these of package refuser: ErrInvalidConfig if Validate refuses
// the text, ErrInvalidBody if changeID is empty, ErrKeyReused, ErrNotReady,
// ErrStoreUnavailable, ErrDeadline, ErrRevisionConflict, ErrBodyTooLarge and
// ErrChangeUnknown.
func (w *Writer) Apply(ctx context.Context, text string, fromRevision uint64, changeID string) (Object, error) {
	if w.Validate != nil {
		if err := w.Validate(text); err != nil {
			return Object{}, refuser.ErrInvalidConfig.WithMessage("%v", err)
		}
	}
	description := fmt.Sprintf("text %x", sha256.Sum256([]byte(text)))
	firstKey := make([]byte, sessionKeyBytes)
	w.Random(firstKey)
	return w.write(ctx, edit{changeID, description, func(o Object) (func(*Object), error) {
		if o.Revision != fromRevision {
			return nil, refuser.ErrRevisionConflict.WithMessage(
				"the text was edited from revision %d, the stored revision is %d:\n%s",
				fromRevision, o.Revision, lineDifference(o.Text, text))
		}
		return func(n *Object) {
			n.Text = text
			if len(n.SessionKeys) == 0 { // session tokens cannot be issued without a key
				n.SessionKeys = [][]byte{firstKey}
			}
		}, nil
	}})
}

// SetDataCentre takes a data centre out of service or back in. The errors are
// those of Apply and of CheckDataCentre.
func (w *Writer) SetDataCentre(ctx context.Context, name string, out bool, changeID string) (Object, error) {
	description := fmt.Sprintf("data_centre %s %s", name, direction(out))
	return w.write(ctx, edit{changeID, description, func(o Object) (func(*Object), error) {
		if err := checkName(w.CheckDataCentre, o.Text, name, out); err != nil {
			return nil, err
		}
		return func(n *Object) { n.DataCentresOut = withMember(o.DataCentresOut, name, out) }, nil
	}})
}

// SetEndpoint takes an endpoint out of service or back in. The errors are those
// of Apply and of CheckEndpoint.
func (w *Writer) SetEndpoint(ctx context.Context, name string, out bool, changeID string) (Object, error) {
	description := fmt.Sprintf("endpoint %s %s", name, direction(out))
	return w.write(ctx, edit{changeID, description, func(o Object) (func(*Object), error) {
		if err := checkName(w.CheckEndpoint, o.Text, name, out); err != nil {
			return nil, err
		}
		return func(n *Object) { n.EndpointsOut = withMember(o.EndpointsOut, name, out) }, nil
	}})
}

// RotateSessionKey adds a new session key as the first one and removes the oldest
// if more than three remain. The errors are those of Apply.
func (w *Writer) RotateSessionKey(ctx context.Context, changeID string) (Object, error) {
	key := make([]byte, sessionKeyBytes)
	w.Random(key)
	return w.write(ctx, edit{changeID, "session_key", func(o Object) (func(*Object), error) {
		keys := append([][]byte{key}, o.SessionKeys...)
		return func(n *Object) { n.SessionKeys = keys[:min(len(keys), keptSessionKeys)] }, nil
	}})
}

// Outcome returns the change with the given id. It returns ErrNotRecorded if the
// change is not among the last 64, and refuser.ErrChangeUnknown if the object
// cannot be read. After ErrNotRecorded, a write whose answer was lost may still
// take effect.
func (w *Writer) Outcome(ctx context.Context, changeID string) (Change, error) {
	o, _, err := w.read(ctx)
	if err != nil {
		return Change{}, unknownOutcome(changeID, err)
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

// checkName validates a name that is taken out of service. A name that the text
// no longer lists may be taken back in.
func checkName(validate func(text, name string) error, text, name string, out bool) error {
	if validate == nil || !out {
		return nil
	}
	return validate(text, name)
}

func unknownOutcome(id string, err error) error {
	return refuser.ErrChangeUnknown.WithMessage("change %q may have taken effect; ask for its outcome later: %v", id, err)
}
