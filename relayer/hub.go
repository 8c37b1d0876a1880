package relayer

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/watcher"
)

const (
	// logLength is the least number of changes that a slow neighbour may be
	// behind before it gets the full state again. With more objects it may be
	// behind as many changes: while a large fleet starts, most objects change
	// within a second.
	logLength = 512
	// sendTimeout bounds one message to a neighbour.
	sendTimeout = 2 * clock.Second
	// largeMessage is the size in bytes from which at most largeSends messages
	// are written at a time: each is copied for its connection, and when a large
	// fleet starts all neighbours ask for the full state.
	largeMessage = 128 << 10
	largeSends   = 6
)

// Hub holds what this instance reads and feeds its neighbours. It is safe for
// concurrent use.
type Hub struct {
	clock clock.Clock
	kinds []string
	large chan struct{} // holds a place for each large message that is written

	mu        sync.Mutex
	open      bool // this instance reads the store
	objects   map[string]map[string]watcher.Object
	log       []Change
	base      int                     // number of changes before log
	count     int                     // of all objects
	batches   map[int]cbor.RawMessage // encoded changes up to now, by the position after which they come
	changed   chan struct{}
	confirmed clock.Millis
	returned  clock.Millis // 0: the store was never away
}

// NewHub returns a hub for kinds, of which nothing is known.
func NewHub(c clock.Clock, kinds []string) *Hub {
	return &Hub{
		clock: c, kinds: kinds, large: make(chan struct{}, largeSends), changed: make(chan struct{}),
		objects: make(map[string]map[string]watcher.Object),
	}
}

// Replace takes a full list of a kind. The changes against the former list are
// sent.
func (h *Hub) Replace(kind string, list []watcher.Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.objects[kind]
	next := make(map[string]watcher.Object, len(list))
	for _, o := range list {
		next[o.Name] = o
		if was, ok := old[o.Name]; !ok || was.Revision != o.Revision {
			h.append(change(kind, o))
		}
	}
	for name, o := range old {
		if _, ok := next[name]; !ok {
			o.Deleted = true
			h.append(change(kind, o))
		}
	}
	h.count += len(next) - len(old)
	h.objects[kind] = next
	h.notify()
}

// Change takes one change of a kind.
func (h *Hub) Change(kind string, o watcher.Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.objects[kind] == nil {
		return
	}
	h.count -= len(h.objects[kind])
	if o.Deleted {
		delete(h.objects[kind], o.Name)
	} else {
		h.objects[kind][o.Name] = o
	}
	h.count += len(h.objects[kind])
	h.append(change(kind, o))
	h.notify()
}

// Confirm notes the instant up to which the store is known to have been read.
func (h *Hub) Confirm(at clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at > h.confirmed {
		h.confirmed = at
		h.notify()
	}
}

// Returned notes the instant at which the store answered again.
func (h *Hub) Returned(at clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.returned = at
}

// SetOpen tells whether this instance reads the store. Closing ends the feeds.
func (h *Hub) SetOpen(open bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open && !open {
		h.objects, h.count = make(map[string]map[string]watcher.Object), 0
	}
	h.open = open
	h.notify()
}

// Open reports whether this instance reads the store.
func (h *Hub) Open() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// Ready reports whether the hub can feed neighbours.
func (h *Hub) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open && len(h.objects) == len(h.kinds)
}

func (h *Hub) append(c Change) {
	h.batches = nil
	h.log = append(h.log, c)
	keep := max(logLength, h.count)
	if len(h.log) >= 2*keep { // the log is moved once for many changes
		drop := len(h.log) - keep
		h.log = slices.Clone(h.log[drop:])
		h.base += drop
	}
}

func (h *Hub) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// errNoFeed tells that this instance does not read the store.
var errNoFeed = errors.New("the store is not read here")

// next returns the message after position at, -1 for the full state, with the
// new position and a channel that is closed at the next change. It returns
// errNoFeed if there is none.
func (h *Hub) next(at int) (*Message, int, chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.open || len(h.objects) < len(h.kinds) {
		return nil, 0, nil, errNoFeed
	}
	now := h.clock.Now()
	m := &Message{Confirmed: h.confirmed, Now: now, Returned: -1}
	if h.returned != 0 {
		m.Returned = now - h.returned
	}
	end := h.base + len(h.log)
	if at < h.base || at > end {
		at, m.Full = -1, h.kinds
	}
	batch, ok := h.batches[at]
	if !ok {
		list := h.full
		if at >= 0 {
			list = func() []Change { return newest(h.log[at-h.base:]) }
		}
		var err error
		if batch, err = encodeChanges(list()); err != nil {
			return nil, 0, nil, err
		}
		if h.batches == nil {
			h.batches = make(map[int]cbor.RawMessage)
		}
		h.batches[at] = batch
	}
	m.Changes = batch
	return m, end, h.changed, nil
}

// full returns all objects. The lock is held.
func (h *Hub) full() []Change {
	list := make([]Change, 0, h.count)
	for _, kind := range h.kinds {
		for _, name := range slices.Sorted(maps.Keys(h.objects[kind])) {
			list = append(list, change(kind, h.objects[kind][name]))
		}
	}
	return list
}

// newest returns the last change of each object, in the order in which they
// came.
func newest(log []Change) []Change {
	if len(log) < 2 {
		return log
	}
	type object struct{ kind, name string }
	seen := make(map[object]bool, len(log))
	var list []Change
	for _, c := range slices.Backward(log) {
		if o := (object{c.Kind, c.Name}); !seen[o] {
			seen[o] = true
			list = append(list, c)
		}
	}
	slices.Reverse(list)
	return list
}

// ServeHTTP feeds one neighbour until it leaves or this instance no longer
// reads the store.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered
	}
	defer func() { _ = conn.CloseNow() }() // it is closed either way
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	e := &echo{}
	go func() {
		defer cancel()
		h.readPings(ctx, conn, e)
	}()
	for at := -1; ; {
		m, end, changed, err := h.next(at)
		if err != nil {
			status := websocket.StatusGoingAway
			if !errors.Is(err, errNoFeed) {
				status = websocket.StatusInternalError // the neighbour logs it
			}
			_ = conn.Close(status, err.Error())
			return
		}
		m.Echo, m.Seen = e.get()
		if err := h.send(ctx, conn, m); err != nil {
			return
		}
		at = end
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// echo holds a neighbour's last ping.
type echo struct {
	mu        sync.Mutex
	now, seen clock.Millis
}

func (e *echo) get() (now, seen clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now, e.seen
}

// readPings reads pings until the connection ends.
func (h *Hub) readPings(ctx context.Context, conn *websocket.Conn, e *echo) {
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		var p ping
		if cbor.Unmarshal(data, &p) != nil {
			return // not a neighbour of this version
		}
		e.mu.Lock()
		e.now, e.seen = p.Now, h.clock.Now()
		e.mu.Unlock()
	}
}

func (h *Hub) send(ctx context.Context, conn *websocket.Conn, m *Message) error {
	if len(m.Changes) > largeMessage {
		select {
		case h.large <- struct{}{}:
			defer func() { <-h.large }()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	data, err := encode(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}
