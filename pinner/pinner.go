package pinner

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/committer"
)

// change is an encoded change of a pin. An empty version only reads.
type change struct {
	Version   string `cbor:"version"`
	Displaced string `cbor:"displaced"`
}

// Apply returns the pin after an encoded change, or nil to leave it: the first
// pin stays unless it names the displaced version. It has the form of a
// committer's change.
// The error tells that the change is malformed.
func Apply(old, encoded []byte) ([]byte, error) {
	var h change
	if err := cbor.Unmarshal(encoded, &h); err != nil {
		return nil, errors.Wrap(err, "pinner: decode change")
	}
	if h.Version == "" || old != nil && (h.Displaced == "" || string(old) != h.Displaced) {
		return nil, nil
	}
	return []byte(h.Version), nil
}

// Pinner stores pins. Fields are set by New and may be replaced before the
// first use. It is safe for concurrent use.
type Pinner struct {
	// Commit applies an encoded change to the record and returns the record
	// after it, with the errors of committer. It may forward the change to the
	// shard's preferred writer, which calls CommitLocal.
	Commit func(ctx context.Context, shard, key string, change []byte) ([]byte, error)

	Shards    int          // number of shards
	CacheSize int          // pins kept in memory
	CacheAge  clock.Millis // after which a pin is read again

	committer *committer.Committer
	clock     clock.Clock
	mu        sync.Mutex
	young     map[string]cached // the cache is young and old together; when young
	old       map[string]cached // is full, it becomes old and old is dropped
}

type cached struct {
	version string
	at      clock.Millis
}

// New returns a pinner that commits through m.
func New(m *committer.Committer, c clock.Clock) *Pinner {
	p := &Pinner{
		Shards: 64, CacheSize: 20_000, CacheAge: clock.Minute,
		committer: m, clock: c, young: map[string]cached{},
	}
	p.Commit = p.CommitLocal
	return p
}

// CommitLocal applies an encoded change through this instance's committer.
// The errors are those of committer.
func (p *Pinner) CommitLocal(ctx context.Context, shard, key string, change []byte) ([]byte, error) {
	apply := func(old []byte) ([]byte, error) { return Apply(old, change) }
	return p.committer.Submit(ctx, shard, key, committer.Change{Apply: apply})
}

// Look returns the version that the session is pinned to, or "" if there is no
// pin. The errors are those of committer.
func (p *Pinner) Look(ctx context.Context, workspace, session string) (string, error) {
	key := recordKey(workspace, session)
	if version, ok := p.recall(key); ok {
		return version, nil
	}
	return p.commit(ctx, key, change{})
}

// Pin pins the session to version, unless it has a pin to another version than
// displaced, and returns the pin as it stands. The errors are those of committer.
func (p *Pinner) Pin(ctx context.Context, workspace, session, version, displaced string) (string, error) {
	key := recordKey(workspace, session)
	if known, ok := p.recall(key); ok && (displaced == "" || known != displaced) {
		return known, nil
	}
	return p.commit(ctx, key, change{Version: version, Displaced: displaced})
}

func (p *Pinner) commit(ctx context.Context, key string, h change) (string, error) {
	encoded, err := cbor.Marshal(h)
	if err != nil {
		return "", errors.Wrap(err, "pinner: encode change")
	}
	shard := fmt.Sprintf("pins/%d", xxhash.Sum64String(key)%uint64(p.Shards))
	pin, err := p.Commit(ctx, shard, key, encoded)
	if err != nil {
		return "", err
	}
	if len(pin) > 0 {
		p.remember(key, string(pin))
	}
	return string(pin), nil
}

func (p *Pinner) recall(key string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.young[key]
	if !ok {
		c, ok = p.old[key]
	}
	return c.version, ok && p.clock.Now()-c.at < p.CacheAge
}

func (p *Pinner) remember(key, version string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.young) >= p.CacheSize/2 {
		p.young, p.old = map[string]cached{}, p.young
	}
	p.young[key] = cached{version: version, at: p.clock.Now()}
}

// recordKey returns a record key of fixed size. The length of the workspace
// keeps the sessions of two workspaces apart.
func recordKey(workspace, session string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d/%s/%s", len(workspace), workspace, session))
	return base64.RawURLEncoding.EncodeToString(sum[:18])
}
