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
	linker       *Messenger
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

func newLink(l *Messenger, address string, dialled bool) *link {
	k := &link{
		linker:       l,
		address:      address,
		dialled:      dialled,
		ready:        make(chan struct{}),
		done:         make(chan struct{}),
		queueChanged: make(chan struct{}, 1),
		callSlots:    make(chan struct{}, maxConcurrentCalls),
	}
	k.ctx, k.cancel = context.WithCancel(l.ctx)
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
func (l *Messenger) dial(k *link) {
	defer l.goroutines.Done()
	err := l.openAsDialler(k)
	if err == nil {
		l.runLink(k)
		return
	}
	klog.V(2).Infof("linker: dial of %s failed: %v", k.address, err)
	l.mu.Lock()
	if len(l.failedDials) >= maxLinks {
		clear(l.failedDials)
	}
	l.failedDials[k.address] = time.Now()
	l.mu.Unlock()
	l.endLink(k)
}

// openAsDialler dials the peer, performs the handshake and registers the link.
func (l *Messenger) openAsDialler(k *link) error {
	ctx, cancel := context.WithTimeout(k.ctx, dialTimeout)
	defer cancel()
	scheme := "ws://"
	if l.options.TLS != nil {
		scheme = "wss://"
	}
	conn, resp, err := websocket.Dial(ctx, scheme+k.address+l.options.Path, &websocket.DialOptions{HTTPClient: l.client})
	if err != nil {
		return err
	}
	if resp.Body != nil {
		defer resp.Body.Close()
	}
	k.conn = conn
	hello, err := l.handshakeAsDialler(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return err
	}
	k.peer, k.incarnation = hello.ID, hello.Incarnation
	l.register(k)
	return nil
}

// ServeHTTP accepts a link and returns when it ends.
func (l *Messenger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if l.closed || l.acceptedLinks >= maxLinks {
		l.mu.Unlock()
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	l.acceptedLinks++
	l.goroutines.Add(1)
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.acceptedLinks--
		l.mu.Unlock()
		l.goroutines.Done()
	}()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	hello, err := l.handshakeAsAcceptor(ctx, conn)
	cancel()
	if err != nil {
		klog.V(1).Infof("linker: refused a link from %s: %v", r.RemoteAddr, err)
		l.countDrop("handshake_failed")
		_ = conn.CloseNow()
		return
	}
	k := newLink(l, hello.Address, false)
	k.conn, k.peer, k.incarnation = conn, hello.ID, hello.Incarnation
	l.register(k)
	l.runLink(k)
}

// register marks the link as open and resolves duplicates for the same address:
// a newer process replaces an older one, and of two links to the same process
// the one that the lower id dialled is kept.
func (l *Messenger) register(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k.open = true
	close(k.ready)
	old := l.links[k.address]
	switch {
	case old == nil:
		l.links[k.address] = k
	case old == k:
	case !old.open:
		// Both sides dial. The queue of the link being dialled moves to this one.
		l.links[k.address] = k
		k.takeOverQueue(old)
	case old.peer == k.peer && old.incarnation > k.incarnation:
		k.closeAfterDrain()
	case old.peer != k.peer || old.incarnation != k.incarnation:
		l.links[k.address] = k
		old.cancel()
	case k.dialled == (l.options.ID < k.peer):
		l.links[k.address] = k
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
func (l *Messenger) runLink(k *link) {
	k.conn.SetReadLimit(MaxMessageBytes)
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		defer k.cancel()
		k.write()
	}()
	k.read()
	k.cancel()
	l.endLink(k)
	_ = k.conn.CloseNow()
}

// endLink removes the link and drops its queue.
func (l *Messenger) endLink(k *link) {
	k.cancel()
	l.mu.Lock()
	if l.links[k.address] == k {
		delete(l.links, k.address)
	}
	l.mu.Unlock()
	k.mu.Lock()
	ended := k.ended
	k.ended = true
	k.mu.Unlock()
	if ended {
		return
	}
	for range k.takeQueue() {
		l.countDrop("link_lost")
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
				k.linker.countDrop("too_large")
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
			k.linker.countDrop("bad_message")
			continue
		}
		if e.From != k.peer || e.Incarnation != k.incarnation {
			k.linker.countDrop("crossed_message")
			continue
		}
		k.handle(e)
	}
}

// handle dispatches an envelope to its waiting call or to its handler.
func (k *link) handle(e Envelope) {
	l := k.linker
	if e.Kind == kindAnswer || e.Kind == kindRefusal {
		l.handleAnswer(e)
		return
	}
	l.mu.Lock()
	h, ok := l.handlers[e.Kind]
	l.mu.Unlock()
	switch {
	case !ok && e.ID == 0:
		l.countDrop("unknown_kind")
	case !ok:
		k.reply(e.ID, kindRefusal, []byte("unknown kind "+e.Kind))
	case e.ID == 0:
		if _, err := h(k.ctx, e); err != nil {
			klog.V(2).Infof("linker: handler of %s from %s failed: %v", e.Kind, e.From, err)
			l.countDrop("handler_failed")
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
	k.linker.goroutines.Add(1)
	go func() {
		defer k.linker.goroutines.Done()
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
	l := k.linker
	err := k.enqueue(Envelope{Kind: kind, From: l.options.ID, Incarnation: l.options.Incarnation, ID: id, Body: body})
	if err != nil {
		l.countDrop("answer_lost")
	}
}
