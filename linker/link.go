package linker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"k8s.io/klog/v2"
)

// link is one WebSocket connection, or one that is being dialled.
type link struct {
	linker  *Linker
	address string
	dialled bool // by this side
	ready   chan struct{}
	done    chan struct{}
	wake    chan struct{}
	served  chan struct{} // one token for each call handler that runs
	ctx     context.Context
	cancel  context.CancelFunc
	conn    *websocket.Conn

	// open, peer and incarnation are set before ready is closed.
	open        bool
	peer        string
	incarnation uint64

	mu     sync.Mutex
	queue  []Envelope
	queued int // bytes
	ended  bool
}

func newLink(l *Linker, address string, dialled bool) *link {
	k := &link{
		linker:  l,
		address: address,
		dialled: dialled,
		ready:   make(chan struct{}),
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		served:  make(chan struct{}, maxServed),
	}
	k.ctx, k.cancel = context.WithCancel(l.ctx)
	return k
}

// push queues an envelope for the writer.
func (k *link) push(e Envelope) error {
	if len(e.Body) > MaxMessageBytes-1024 {
		return ErrTooLarge
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return ErrUnreachable
	}
	if len(k.queue) >= maxQueued || k.queued+len(e.Body) > maxQueueBytes {
		return ErrQueueFull
	}
	k.queue = append(k.queue, e)
	k.queued += len(e.Body)
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return nil
}

func (k *link) take() []Envelope {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := k.queue
	k.queue, k.queued = nil, 0
	return q
}

// dial opens the link and runs it until it ends.
func (l *Linker) dial(k *link) {
	defer l.group.Done()
	err := l.dialOnce(k)
	if err == nil {
		l.run(k)
		return
	}
	klog.V(2).Infof("linker: dialling %s failed: %v", k.address, err)
	l.mu.Lock()
	if len(l.failed) >= maxLinks {
		clear(l.failed)
	}
	l.failed[k.address] = time.Now()
	l.mu.Unlock()
	l.end(k)
}

func (l *Linker) dialOnce(k *link) error {
	ctx, cancel := context.WithTimeout(k.ctx, dialTimeout)
	defer cancel()
	scheme := "ws://"
	if l.opts.TLS != nil {
		scheme = "wss://"
	}
	conn, resp, err := websocket.Dial(ctx, scheme+k.address+l.opts.Path, &websocket.DialOptions{HTTPClient: l.client})
	if err != nil {
		return err
	}
	if resp.Body != nil {
		defer resp.Body.Close()
	}
	k.conn = conn
	hello, err := l.greet(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return err
	}
	k.peer, k.incarnation = hello.ID, hello.Incarnation
	l.register(k)
	return nil
}

// ServeHTTP accepts a link.
func (l *Linker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if l.closed || l.accepted >= maxLinks {
		l.mu.Unlock()
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	l.accepted++
	l.group.Add(1)
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.accepted--
		l.mu.Unlock()
		l.group.Done()
	}()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	hello, err := l.welcome(ctx, conn)
	cancel()
	if err != nil {
		klog.V(1).Infof("linker: refused a link from %s: %v", r.RemoteAddr, err)
		l.drop("handshake_failed")
		_ = conn.CloseNow()
		return
	}
	k := newLink(l, hello.Address, false)
	k.conn, k.peer, k.incarnation = conn, hello.ID, hello.Incarnation
	l.register(k)
	l.run(k)
}

// register opens the link and settles duplicates for the same address: a newer
// process replaces an older one, and of two links to the same process the one
// that the lower id dialled is kept.
func (l *Linker) register(k *link) {
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
		// Both sides dial. What waits on the dialling link leaves on this one.
		l.links[k.address] = k
		k.inherit(old)
	case old.peer == k.peer && old.incarnation > k.incarnation:
		k.retire()
	case old.peer != k.peer || old.incarnation != k.incarnation:
		l.links[k.address] = k
		old.cancel()
	case k.dialled == (l.opts.ID < k.peer):
		l.links[k.address] = k
		old.retire()
	default:
		k.retire()
	}
}

// inherit moves the queue of a link that is still being dialled.
func (k *link) inherit(old *link) {
	q := old.take()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range q {
		k.queue = append(k.queue, e)
		k.queued += len(e.Body)
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// retire closes a duplicate link after its traffic has drained.
func (k *link) retire() { time.AfterFunc(retireGrace, k.cancel) }

// run reads and writes until the link ends.
func (l *Linker) run(k *link) {
	k.conn.SetReadLimit(MaxMessageBytes)
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		defer k.cancel()
		k.write()
	}()
	k.read()
	k.cancel()
	l.end(k)
	_ = k.conn.CloseNow()
}

// end removes the link and drops what is still queued.
func (l *Linker) end(k *link) {
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
	for range k.take() {
		l.drop("link_lost")
	}
	close(k.done)
}

func (k *link) write() {
	for {
		select {
		case <-k.wake:
		case <-k.ctx.Done():
			return
		}
		for _, e := range k.take() {
			b, err := e.Encode()
			if err != nil {
				k.linker.drop("too_large")
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

func (k *link) read() {
	for {
		kind, b, err := k.conn.Read(k.ctx)
		if err != nil {
			return
		}
		e, err := Decode(b)
		if err != nil || kind != websocket.MessageBinary {
			k.linker.drop("bad_message")
			continue
		}
		if e.From != k.peer || e.Incarnation != k.incarnation {
			k.linker.drop("crossed_message")
			continue
		}
		k.serve(e)
	}
}

func (k *link) serve(e Envelope) {
	l := k.linker
	if e.Kind == kindAnswer || e.Kind == kindRefusal {
		l.answered(e)
		return
	}
	l.mu.Lock()
	h, ok := l.handlers[e.Kind]
	l.mu.Unlock()
	switch {
	case !ok && e.ID == 0:
		l.drop("unknown_kind")
	case !ok:
		k.reply(e.ID, kindRefusal, []byte("unknown kind "+e.Kind))
	case e.ID == 0:
		if _, err := h(k.ctx, e); err != nil {
			klog.V(2).Infof("linker: %s from %s: %v", e.Kind, e.From, err)
			l.drop("handler_failed")
		}
	default:
		k.serveCall(h, e)
	}
}

func (k *link) serveCall(h handler, e Envelope) {
	select {
	case k.served <- struct{}{}:
	default:
		k.reply(e.ID, kindRefusal, []byte("too many calls"))
		return
	}
	k.linker.group.Add(1)
	go func() {
		defer k.linker.group.Done()
		defer func() { <-k.served }()
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
	err := k.push(Envelope{Kind: kind, From: l.opts.ID, Incarnation: l.opts.Incarnation, ID: id, Body: body})
	if err != nil {
		l.drop("answer_lost")
	}
}
