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

// revokeTime is the time after which no instance may accept a revoked key.
const revokeTime = 5 * clock.Second

// applyTime is the platform's configApplyMs: the time within which an instance
// without faults applies a configuration.
const applyTime = 2 * clock.Second

// key is an access key of callers. Its instants are 0 until they are reached.
type key struct {
	text     string
	added    clock.Millis // the store acknowledged a configuration with the key
	revoking clock.Millis // start of writing a configuration without the key
	revoked  clock.Millis // the store acknowledged a configuration without the key
}

// operator writes configurations to the store and rotates keys.
type operator struct {
	soak *Soaker

	rotation sync.Mutex // held during a rotation

	mu      sync.Mutex
	version int64
	text    any // of the configuration that was written last
	keys    []key
}

func newOperator(s *Soaker) *operator {
	return &operator{soak: s, keys: []key{{text: "key-0"}, {text: "key-1"}}}
}

// pickKey returns a key for a request: mostly the newest valid one, sometimes a
// revoked one.
func (o *operator) pickKey() string {
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

// key returns the state of a key; the zero key if it is unknown.
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

// rotate adds a key and revokes the oldest valid one.
func (o *operator) rotate() error {
	o.rotation.Lock()
	defer o.rotation.Unlock()
	now := o.soak.clock.Now()
	o.mu.Lock()
	o.keys = append(o.keys, key{text: fmt.Sprint("key-", len(o.keys))})
	old := len(o.keys) - 3
	o.keys[old].revoking = now
	o.mu.Unlock()
	return o.writeConfig()
}

// writeConfig writes the next version of the configuration, with the keys that are
// not being revoked. Versions increase by 1 to 3.
func (o *operator) writeConfig() error {
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
	o.text = text
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

// timeout returns the timeout of a kind of requests, for the route and the callers.
func timeout(kind matcher.Kind) clock.Millis {
	if kind == matcher.Stream {
		return 8 * clock.Second
	}
	return 3 * clock.Second
}
