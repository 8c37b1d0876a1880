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

// change is a change of a pin, as sent to the shard's writer. With an empty
// version it is a read.
type change struct {
	Version   string `cbor:"version"`
	Displaced string `cbor:"displaced"`
}

// Apply returns the pin after an encoded change, or nil if the pin stays as it
// is: an existing pin is replaced only if it names the displaced version. The
// signature is that of a change of package committer. The error means that the
// change is malformed.
func Apply(old, encoded []byte) ([]byte, error) {
	var c change
	if err := cbor.Unmarshal(encoded, &c); err != nil {
		return nil, errors.Wrap(err, "pinner: decode change")
	}
	if c.Version == "" || old != nil && (c.Displaced == "" || string(old) != c.Displaced) {
		return nil, nil
	}
	return []byte(c.Version), nil
}

// Pinner stores and caches pins. New sets its fields, which may be changed before
// the first use. It is safe for concurrent use.
type Pinner struct {
	// Commit applies an encoded change to a record and returns the record after
	// the change. The errors are those of committer. It may forward the change
	// to the shard's preferred writer, which calls CommitLocal.
	Commit func(ctx context.Context, shard, key string, change []byte) ([]byte, error)

	Shards    int          // number of shards
	CacheSize int          // largest number of cached pins
	CacheAge  clock.Millis // age at which a cached pin is read again

	committer *committer.Committer
	clock     clock.Clock
	mu        sync.Mutex
	young     map[string]cached // two-generation cache: a full young generation
	old       map[string]cached // becomes the old one, and the old one is dropped
}

// cached is a pin in the cache.
type cached struct {
	version string
	at      clock.Millis // when it was read
}

// New returns a pinner with an empty cache that commits through m.
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

// Lookup returns the version that the session is pinned to, or "" if there is no
// pin. The errors are those of committer.
func (p *Pinner) Lookup(ctx context.Context, workspace, session string) (string, error) {
	key := recordKey(workspace, session)
	if version, ok := p.cacheGet(key); ok {
		return version, nil
	}
	return p.commit(ctx, key, change{})
}

// Pin pins the session to version if it has no pin or is pinned to displaced, and
// returns the version that it is pinned to afterwards. The errors are those of
// committer.
func (p *Pinner) Pin(ctx context.Context, workspace, session, version, displaced string) (string, error) {
	key := recordKey(workspace, session)
	if known, ok := p.cacheGet(key); ok && (displaced == "" || known != displaced) {
		return known, nil
	}
	return p.commit(ctx, key, change{Version: version, Displaced: displaced})
}

// commit submits a change, caches the resulting pin and returns it.
func (p *Pinner) commit(ctx context.Context, key string, c change) (string, error) {
	encoded, err := cbor.Marshal(c)
	if err != nil {
		return "", errors.Wrap(err, "pinner: encode change")
	}
	shard := fmt.Sprintf("pins/%d", xxhash.Sum64String(key)%uint64(p.Shards))
	pin, err := p.Commit(ctx, shard, key, encoded)
	if err != nil {
		return "", err
	}
	if len(pin) > 0 {
		p.cachePut(key, string(pin))
	}
	return string(pin), nil
}

func (p *Pinner) cacheGet(key string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.young[key]
	if !ok {
		c, ok = p.old[key]
	}
	return c.version, ok && p.clock.Now()-c.at < p.CacheAge
}

func (p *Pinner) cachePut(key, version string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.young) >= p.CacheSize/2 {
		p.young, p.old = map[string]cached{}, p.young
	}
	p.young[key] = cached{version: version, at: p.clock.Now()}
}

// recordKey returns the record key of a session, which has a fixed size. The
// length prefix of the workspace prevents collisions between workspaces.
func recordKey(workspace, session string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d/%s/%s", len(workspace), workspace, session))
	return base64.RawURLEncoding.EncodeToString(sum[:18])
}
