package soaker

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/platform"
)

// Names in the configuration of a run.
const (
	plainService = "desk"
	modelService = "models"
	host         = "soak.example"
	workspace    = "fitters"
	smallModel   = "small"
	largeModel   = "large"
)

// revokeTime is the time after which a key that was taken away must not work.
const revokeTime = 5 * clock.Second

// applyTime is the users' configApplyMs.
const applyTime = 2 * clock.Second

// key is one key of a caller. Instants are 0 before they are reached.
type key struct {
	text     string
	added    clock.Millis // the store acknowledged the configuration with it
	revoking clock.Millis // a configuration without it was sent
	revoked  clock.Millis // and acknowledged
}

// operator writes configurations.
type operator struct {
	soak *Soaker

	turn sync.Mutex // held by one change

	mu      sync.Mutex
	version int64
	keys    []key
}

func newOperator(s *Soaker) *operator {
	return &operator{soak: s, keys: []key{{text: "key-0"}, {text: "key-1"}}}
}

// pick returns a key for a request: mostly the newest in force, at times one
// that was taken away.
func (o *operator) pick() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var newest string
	for _, k := range o.keys {
		if k.added != 0 {
			newest = k.text
		}
	}
	if old := o.keys[rand.IntN(len(o.keys))]; old.revoked != 0 && rand.IntN(5) == 0 {
		return old.text
	}
	return newest
}

// key returns what is known of a key.
func (o *operator) key(text string) key {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range o.keys {
		if k.text == text {
			return k
		}
	}
	return key{}
}

// rotate adds a key and takes the oldest one in force away.
func (o *operator) rotate() error {
	o.turn.Lock()
	defer o.turn.Unlock()
	now := o.soak.clock.Now()
	o.mu.Lock()
	o.keys = append(o.keys, key{text: fmt.Sprint("key-", len(o.keys))})
	old := len(o.keys) - 3
	o.keys[old].revoking = now
	o.mu.Unlock()
	return o.write()
}

// write writes the next version, with the keys that are not to be taken away.
func (o *operator) write() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 1 + rand.Int64N(3)
	keys := make(map[string]matcher.Workspace)
	for _, k := range o.keys {
		if k.revoking == 0 {
			keys[k.text] = matcher.Workspace{Name: workspace}
		}
	}
	route := func(name string, kind matcher.Kind, service string, attempts int) matcher.Route {
		return matcher.Route{
			Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: kind, Attempts: attempts, Timeout: timeout(kind),
			Target: 300, Backends: []matcher.Backend{{Service: service, Weight: 1}},
		}
	}
	stream := route("stream", matcher.Stream, modelService, 3)
	stream.Resumable, stream.Models, stream.EventGap = true, []string{smallModel, largeModel}, 1000
	text, err := platform.EncodeConfig(matcher.Config{
		Version: o.version, Workspaces: keys,
		Limits: matcher.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3000, IdleTimeout: 15000},
		Routes: []matcher.Route{
			route("book", matcher.Unsafe, plainService, 2), route("check", matcher.Safe, plainService, 2), stream,
		},
		Services: []matcher.Service{
			{Name: plainService, MaxConnections: 200},
			{
				Name: modelService, MaxConnections: 200, Warmup: clock.Second, WarmupRate: 20, Slots: slots,
				CacheTokens: 1e6, Models: []matcher.Model{{Name: smallModel, Cost: 0.1}, {Name: largeModel, Cost: 1}},
			},
		},
	})
	if err != nil {
		return err
	}
	if err := o.soak.store.Put(platform.ConfigKind, platform.ConfigName, text); err != nil {
		return err
	}
	now := o.soak.clock.Now()
	for i := range o.keys {
		k := &o.keys[i]
		if k.revoking != 0 && k.revoked == 0 {
			k.revoked = now
		}
		if k.added == 0 {
			k.added = now
		}
	}
	return nil
}

// timeout is the longest time of a route's requests, and what callers wait.
func timeout(kind matcher.Kind) clock.Millis {
	if kind == matcher.Stream {
		return 8 * clock.Second
	}
	return 3 * clock.Second
}
