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
	// minLogLength is the least number of changes by which a slow neighbour may
	// lag before it gets the full state again. If there are more objects, their
	// number is the limit: while a large fleet starts, most objects change within
	// a second.
	minLogLength = 512
	// sendTimeout bounds the time to send one message to a neighbour.
	sendTimeout = 2 * clock.Second
	// At most maxLargeSends messages of more than largeMessageBytes are written
	// concurrently. Each is copied for its connection, and when a large fleet
	// starts, all neighbours need the full state at the same time.
	largeMessageBytes = 128 << 10
	maxLargeSends     = 6
)

// Hub holds the objects that this instance reads from the store and serves them
// to its neighbours as feeds. It is safe for concurrent use.
type Hub struct {
	clock      clock.Clock
	kinds      []string
	largeSlots chan struct{} // semaphore of concurrent large messages

	mu          sync.Mutex
	reading     bool                                 // this instance reads the store
	objects     map[string]map[string]watcher.Object // by kind and name
	log         []Change                             // latest changes, in order
	logBase     int                                  // number of changes before log
	objectCount int                                  // objects of all kinds
	batches     map[int]batch                        // changes from a log position to the end; -1: full state
	changed     chan struct{}                        // closed on each change or confirmation
	confirmed   clock.Millis                         // instant up to which the store has been read
	era         int64                                // of the store, as last set
	regainedAt  clock.Millis                         // instant at which the store answered again; 0: no outage
}

// NewHub returns a hub for the given kinds. It serves no feed until Replace has
// been called for each of them.
func NewHub(c clock.Clock, kinds []string) *Hub {
	return &Hub{
		clock: c, kinds: kinds, largeSlots: make(chan struct{}, maxLargeSends), changed: make(chan struct{}),
		objects: make(map[string]map[string]watcher.Object),
	}
}

// Replace sets all objects of a kind. Neighbours are sent the differences from
// the previous list.
func (h *Hub) Replace(kind string, list []watcher.Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.objects[kind]
	next := make(map[string]watcher.Object, len(list))
	for _, o := range list {
		next[o.Name] = o
		if previous, ok := old[o.Name]; !ok || previous.Revision != o.Revision || previous.Era != o.Era {
			h.appendChange(newChange(kind, o))
		}
	}
	for name, o := range old {
		if _, ok := next[name]; !ok {
			o.Deleted = true
			h.appendChange(newChange(kind, o))
		}
	}
	h.objectCount += len(next) - len(old)
	h.objects[kind] = next
	h.notify()
}

// Change applies one change of a kind. It has no effect before Replace.
func (h *Hub) Change(kind string, o watcher.Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.objects[kind] == nil {
		return
	}
	h.objectCount -= len(h.objects[kind])
	if o.Deleted {
		delete(h.objects[kind], o.Name)
	} else {
		h.objects[kind][o.Name] = o
	}
	h.objectCount += len(h.objects[kind])
	h.appendChange(newChange(kind, o))
	h.notify()
}

// Confirm sets the instant up to which the store is known to have been read.
func (h *Hub) Confirm(at clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at > h.confirmed {
		h.confirmed = at
		h.notify()
	}
}

// StoreRegained sets the instant at which the store answered again after an
// outage.
func (h *Hub) StoreRegained(at clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.regainedAt = at
}

// SetEra sets the era of the store. It must be called before objects of that era are
// passed to the hub.
func (h *Hub) SetEra(era int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.era = era
}

// SetReading sets whether this instance reads the store. Setting it to false
// drops the objects and ends the feeds.
func (h *Hub) SetReading(reading bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reading && !reading {
		h.objects, h.objectCount = make(map[string]map[string]watcher.Object), 0
	}
	h.reading = reading
	h.notify()
}

// IsReading reports whether this instance reads the store.
func (h *Hub) IsReading() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reading
}

// Ready reports whether the hub can serve feeds: this instance reads the store
// and all kinds are known.
func (h *Hub) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reading && len(h.objects) == len(h.kinds)
}

func (h *Hub) appendChange(c Change) {
	h.batches = nil
	h.log = append(h.log, c)
	keep := max(minLogLength, h.objectCount)
	if len(h.log) >= 2*keep { // amortises the cost of copying the log
		drop := len(h.log) - keep
		h.log = slices.Clone(h.log[drop:])
		h.logBase += drop
	}
}

func (h *Hub) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// errNotReading means that this instance does not read the store. Its text is
// the reason in the close frame.
var errNotReading = errors.New("the store is not read here")

// nextMessage returns a message with the changes since a log position, or with
// the full state if the position is -1 or no longer in the log. It also returns
// the new position and a channel that is closed on the next change or
// confirmation. packed allows compressed changes. The error is errNotReading if the
// hub cannot serve feeds.
func (h *Hub) nextMessage(position int, packed bool) (*Message, int, chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.reading || len(h.objects) < len(h.kinds) {
		return nil, 0, nil, errNotReading
	}
	now := h.clock.Now()
	m := &Message{Confirmed: h.confirmed, Now: now, SinceRegained: -1, Era: h.era}
	if h.regainedAt != 0 {
		m.SinceRegained = now - h.regainedAt
	}
	end := h.logBase + len(h.log)
	if position < h.logBase || position > end {
		position, m.FullKinds = -1, h.kinds
	}
	changes, ok := h.batches[position]
	if !ok {
		list := h.allObjects
		if position >= 0 {
			list = func() []Change { return latestChanges(h.log[position-h.logBase:]) }
		}
		var err error
		if changes, err = newBatch(list()); err != nil {
			return nil, 0, nil, err
		}
		if h.batches == nil {
			h.batches = make(map[int]batch)
		}
		h.batches[position] = changes
	}
	if packed && len(changes.packed) > 0 {
		m.Packed = changes.packed
	} else {
		m.Changes = changes.plain
	}
	return m, end, h.changed, nil
}

// allObjects returns all objects as changes, ordered by kind and name. The lock
// is held.
func (h *Hub) allObjects() []Change {
	list := make([]Change, 0, h.objectCount)
	for _, kind := range h.kinds {
		for _, name := range slices.Sorted(maps.Keys(h.objects[kind])) {
			list = append(list, newChange(kind, h.objects[kind][name]))
		}
	}
	return list
}

// latestChanges returns the last change of each object, in log order.
func latestChanges(log []Change) []Change {
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

// ServeHTTP serves the feed to one neighbour until it disconnects or this
// instance no longer reads the store.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has written the response
	}
	defer func() { _ = conn.CloseNow() }() // fails if the connection is closed already
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	packed := r.URL.Query().Get(packedQuery) != ""
	lastPing := &receivedPing{}
	go func() {
		defer cancel()
		h.readPings(ctx, conn, lastPing)
	}()
	for position := -1; ; {
		m, end, changed, err := h.nextMessage(position, packed)
		if err != nil {
			status := websocket.StatusGoingAway
			if !errors.Is(err, errNotReading) {
				status = websocket.StatusInternalError // the neighbour logs it
			}
			_ = conn.Close(status, err.Error())
			return
		}
		m.PingSentAt, m.PingReceivedAt = lastPing.get()
		if err := h.send(ctx, conn, m); err != nil {
			return
		}
		position = end
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// receivedPing holds the last ping of a neighbour: sentAt by the neighbour's
// clock, receivedAt by the local one.
type receivedPing struct {
	mu                 sync.Mutex
	sentAt, receivedAt clock.Millis
}

func (r *receivedPing) get() (sentAt, receivedAt clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentAt, r.receivedAt
}

// readPings stores each received ping in lastPing until the connection ends or a
// message is not a ping.
func (h *Hub) readPings(ctx context.Context, conn *websocket.Conn, lastPing *receivedPing) {
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		var p ping
		if cbor.Unmarshal(data, &p) != nil {
			return // the neighbour does not speak this protocol version
		}
		lastPing.mu.Lock()
		lastPing.sentAt, lastPing.receivedAt = p.Now, h.clock.Now()
		lastPing.mu.Unlock()
	}
}

func (h *Hub) send(ctx context.Context, conn *websocket.Conn, m *Message) error {
	if len(m.Changes)+len(m.Packed) > largeMessageBytes {
		select {
		case h.largeSlots <- struct{}{}:
			defer func() { <-h.largeSlots }()
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
