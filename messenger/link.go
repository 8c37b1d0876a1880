package messenger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"k8s.io/klog/v2"
)

// link is one WebSocket connection, or one that is being dialled, with its
// queue of outgoing messages.
type link struct {
	messenger    *Messenger
	address      string
	dialled      bool          // by this side
	ready        chan struct{} // closed when the link opens
	done         chan struct{} // closed when the link ends
	queueChanged chan struct{} // wakes the writer
	callSlots    chan struct{} // holds one element for each running call handler
	ctx          context.Context
	cancel       context.CancelFunc
	conn         *websocket.Conn

	// open, peer and incarnation are set before ready is closed. peer and
	// incarnation identify the process at the other end.
	open        bool
	peer        string
	incarnation uint64

	mu          sync.Mutex
	queue       []Envelope
	queuedBytes int // of bodies
	ended       bool
}

func newLink(m *Messenger, address string, dialled bool) *link {
	k := &link{
		messenger:    m,
		address:      address,
		dialled:      dialled,
		ready:        make(chan struct{}),
		done:         make(chan struct{}),
		queueChanged: make(chan struct{}, 1),
		callSlots:    make(chan struct{}, maxConcurrentCalls),
	}
	k.ctx, k.cancel = context.WithCancel(m.ctx)
	return k
}

// enqueue queues an envelope for the writer.
func (k *link) enqueue(e Envelope) error {
	if len(e.Body) > MaxMessageBytes-1024 {
		return ErrTooLarge
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return ErrUnreachable
	}
	if len(k.queue) >= maxQueuedMessages || k.queuedBytes+len(e.Body) > maxQueuedBytes {
		return ErrQueueFull
	}
	k.queue = append(k.queue, e)
	k.queuedBytes += len(e.Body)
	select {
	case k.queueChanged <- struct{}{}:
	default:
	}
	return nil
}

// takeQueue empties the queue and returns its envelopes.
func (k *link) takeQueue() []Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := k.queue
	k.queue, k.queuedBytes = nil, 0
	return q
}

// dial opens the link and runs it until it ends.
func (m *Messenger) dial(k *link) {
	defer m.goroutines.Done()
	err := m.openAsDialler(k)
	if err == nil {
		m.runLink(k)
		return
	}
	klog.V(2).Infof("messenger: dial of %s failed: %v", k.address, err)
	m.mu.Lock()
	if len(m.failedDials) >= maxLinks {
		clear(m.failedDials)
	}
	m.failedDials[k.address] = time.Now()
	m.mu.Unlock()
	m.endLink(k)
}

// openAsDialler dials the peer, performs the handshake and registers the link.
func (m *Messenger) openAsDialler(k *link) error {
	ctx, cancel := context.WithTimeout(k.ctx, dialTimeout)
	defer cancel()
	scheme := "ws://"
	if m.options.TLS != nil {
		scheme = "wss://"
	}
	conn, resp, err := websocket.Dial(ctx, scheme+k.address+m.options.Path, &websocket.DialOptions{HTTPClient: m.client})
	if err != nil {
		return err
	}
	if resp.Body != nil {
		defer resp.Body.Close()
	}
	k.conn = conn
	hello, err := m.handshakeAsDialler(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return err
	}
	k.peer, k.incarnation = hello.ID, hello.Incarnation
	m.register(k)
	return nil
}

// ServeHTTP accepts a link and returns when it ends.
func (m *Messenger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	if m.closed || m.acceptedLinks >= maxLinks {
		m.mu.Unlock()
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	m.acceptedLinks++
	m.goroutines.Add(1)
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.acceptedLinks--
		m.mu.Unlock()
		m.goroutines.Done()
	}()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	hello, err := m.handshakeAsAcceptor(ctx, conn)
	cancel()
	if err != nil {
		klog.V(1).Infof("messenger: refused a link from %s: %v", r.RemoteAddr, err)
		m.countDrop("handshake_failed")
		_ = conn.CloseNow()
		return
	}
	k := newLink(m, hello.Address, false)
	k.conn, k.peer, k.incarnation = conn, hello.ID, hello.Incarnation
	m.register(k)
	m.runLink(k)
}

// register marks the link as open and resolves duplicates for the same address:
// a newer process replaces an older one, and of two links to the same process
// the one that the lower id dialled is kept.
func (m *Messenger) register(k *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k.open = true
	close(k.ready)
	old := m.links[k.address]
	switch {
	case old == nil:
		m.links[k.address] = k
	case old == k:
	case !old.open:
		// Both sides dial. The queue of the link being dialled moves to this one.
		m.links[k.address] = k
		k.takeOverQueue(old)
	case old.peer == k.peer && old.incarnation > k.incarnation:
		k.closeAfterDrain()
	case old.peer != k.peer || old.incarnation != k.incarnation:
		m.links[k.address] = k
		old.cancel()
	case k.dialled == (m.options.ID < k.peer):
		m.links[k.address] = k
		old.closeAfterDrain()
	default:
		k.closeAfterDrain()
	}
}

// takeOverQueue moves the queue of a link that is still being dialled to k.
func (k *link) takeOverQueue(old *link) {
	q := old.takeQueue()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range q {
		k.queue = append(k.queue, e)
		k.queuedBytes += len(e.Body)
	}
	select {
	case k.queueChanged <- struct{}{}:
	default:
	}
}

// closeAfterDrain closes a duplicate link after its traffic has drained.
func (k *link) closeAfterDrain() { time.AfterFunc(drainTime, k.cancel) }

// runLink reads and writes until the link ends.
func (m *Messenger) runLink(k *link) {
	k.conn.SetReadLimit(MaxMessageBytes)
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		defer k.cancel()
		k.write()
	}()
	k.read()
	k.cancel()
	m.endLink(k)
	_ = k.conn.CloseNow()
}

// endLink removes the link and drops its queue.
func (m *Messenger) endLink(k *link) {
	k.cancel()
	m.mu.Lock()
	if m.links[k.address] == k {
		delete(m.links, k.address)
	}
	m.mu.Unlock()
	k.mu.Lock()
	ended := k.ended
	k.ended = true
	k.mu.Unlock()
	if ended {
		return
	}
	for range k.takeQueue() {
		m.countDrop("link_lost")
	}
	close(k.done)
}

// write sends queued envelopes until the link is cancelled or a write fails.
func (k *link) write() {
	for {
		select {
		case <-k.queueChanged:
		case <-k.ctx.Done():
			return
		}
		for _, e := range k.takeQueue() {
			b, err := e.Encode()
			if err != nil {
				k.messenger.countDrop("too_large")
				continue
			}
			ctx, cancel := context.WithTimeout(k.ctx, writeTimeout)
			err = k.conn.Write(ctx, websocket.MessageBinary, b)
			cancel()
			if err != nil {
				return
			}
		}
	}
}

// read receives and handles envelopes until a read fails.
func (k *link) read() {
	for {
		kind, b, err := k.conn.Read(k.ctx)
		if err != nil {
			return
		}
		e, err := Decode(b)
		if err != nil || kind != websocket.MessageBinary {
			k.messenger.countDrop("bad_message")
			continue
		}
		if e.From != k.peer || e.Incarnation != k.incarnation {
			k.messenger.countDrop("crossed_message")
			continue
		}
		k.handle(e)
	}
}

// handle dispatches an envelope to its waiting call or to its handler.
func (k *link) handle(e Envelope) {
	m := k.messenger
	if e.Kind == kindAnswer || e.Kind == kindRefusal {
		m.handleAnswer(e)
		return
	}
	m.mu.Lock()
	h, ok := m.handlers[e.Kind]
	m.mu.Unlock()
	switch {
	case !ok && e.ID == 0:
		m.countDrop("unknown_kind")
	case !ok:
		k.reply(e.ID, kindRefusal, []byte("unknown kind "+e.Kind))
	case e.ID == 0:
		if _, err := h(k.ctx, e); err != nil {
			klog.V(2).Infof("messenger: handler of %s from %s failed: %v", e.Kind, e.From, err)
			m.countDrop("handler_failed")
		}
	default:
		k.handleCall(h, e)
	}
}

// handleCall runs the handler of a call and sends its answer or refusal.
func (k *link) handleCall(h handler, e Envelope) {
	select {
	case k.callSlots <- struct{}{}:
	default:
		k.reply(e.ID, kindRefusal, []byte("too many calls"))
		return
	}
	k.messenger.goroutines.Add(1)
	go func() {
		defer k.messenger.goroutines.Done()
		defer func() { <-k.callSlots }()
		body, err := h(k.ctx, e)
		if err != nil {
			k.reply(e.ID, kindRefusal, []byte(err.Error()))
			return
		}
		k.reply(e.ID, kindAnswer, body)
	}()
}

func (k *link) reply(id uint64, kind string, body []byte) {
	m := k.messenger
	err := k.enqueue(Envelope{Kind: kind, From: m.options.ID, Incarnation: m.options.Incarnation, ID: id, Body: body})
	if err != nil {
		m.countDrop("answer_lost")
	}
}
