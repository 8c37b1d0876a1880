package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Send and Call.
var (
	// ErrClosed means that the messenger was closed.
	ErrClosed = errors.New("messenger: closed")
	// ErrQueueFull means that the message was not sent because the queue is full.
	ErrQueueFull = errors.New("messenger: queue full")
	// ErrTooLarge means that the message exceeds MaxMessageBytes.
	ErrTooLarge = errors.New("messenger: message too large")
	// ErrUnreachable means that no link could be opened: nothing was sent.
	ErrUnreachable = errors.New("messenger: peer unreachable")
	// ErrLinkLost means that the link closed before the answer: the peer may have
	// executed the call.
	ErrLinkLost = errors.New("messenger: link lost before the answer")
	// ErrRefused means that the peer has no handler for the call, runs too many
	// calls, or that its handler returned an error.
	ErrRefused = errors.New("messenger: call refused")
)

const (
	dialTimeout        = 2 * time.Second
	dialBackoff        = 250 * time.Millisecond // between two dials of one address
	drainTime          = 5 * time.Second        // between the replacement of a duplicate link and its close
	writeTimeout       = 5 * time.Second
	maxQueuedMessages  = 256     // per link, as are the next two
	maxQueuedBytes     = 4 << 20 // of bodies
	maxConcurrentCalls = 64
	maxLinks           = 1024
)

// Options are the identity, the credentials and the transport of a messenger.
type Options struct {
	// ID, Incarnation and Address identify this process towards its peers.
	// Address is where peers reach this instance, as host:port.
	ID          string
	Incarnation uint64
	Address     string
	// Secrets returns the accepted shared secrets. The first one is used for this
	// instance's proofs. It is called for each handshake, so that a rotation needs
	// no restart. Without secrets no link opens.
	Secrets func() [][]byte
	// TLS is the client side of mutual TLS; nil means plain WebSocket.
	TLS *tls.Config
	// Path is the URL path at which peers serve their messenger; "/peer" if empty.
	Path string
	// Dial opens the transport connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDrop is called for each message that is dropped, with the reason. It
	// may be nil.
	OnDrop func(reason string)
}

// handler returns the answer to a message, which is discarded unless the message
// is a call.
type handler func(ctx context.Context, e Envelope) ([]byte, error)

// call is an outgoing call that waits for its answer. peer and incarnation
// identify the called process.
type call struct {
	peer        string
	incarnation uint64
	answer      chan Envelope
	link        *link
}

// Messenger holds the links of one instance. It is an http.Handler that accepts
// links. It is safe for concurrent use.
type Messenger struct {
	options    Options
	client     *http.Client
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu            sync.Mutex
	closed        bool
	links         map[string]*link     // by the peer's address
	failedDials   map[string]time.Time // last failure by address
	handlers      map[string]handler   // by kind
	calls         map[uint64]*call     // by Envelope.ID
	acceptedLinks int                  // open connections that this side accepted
	lastCallID    atomic.Uint64
}

// New returns a messenger that runs until done is closed or Close is called.
func New(o Options, done <-chan struct{}) *Messenger {
	if o.Path == "" {
		o.Path = "/peer"
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Messenger{
		options:     o,
		ctx:         ctx,
		cancel:      cancel,
		links:       map[string]*link{},
		failedDials: map[string]time.Time{},
		handlers:    map[string]handler{},
		calls:       map[uint64]*call{},
	}
	m.client = &http.Client{Transport: &http.Transport{
		DialContext: o.Dial, TLSClientConfig: o.TLS, DisableKeepAlives: true,
	}}
	go func() {
		select {
		case <-done:
			m.Close()
		case <-ctx.Done():
		}
	}()
	return m
}

// Close ends all links and waits for their goroutines.
func (m *Messenger) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.goroutines.Wait()
}

// Handle registers the function that serves messages of one kind. Its answer
// is sent if the message is a call. Handle panics if the kind has a handler.
func (m *Messenger) Handle(kind string, serve func(ctx context.Context, e Envelope) ([]byte, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.handlers[kind]; ok || kind == kindAnswer || kind == kindRefusal {
		panic("messenger: duplicate handler for " + kind)
	}
	m.handlers[kind] = serve
}

// Send queues a one-way message for the peer at address and returns at once.
// The message is dropped and counted if the queue is full or the link fails.
// The errors are ErrClosed, ErrUnreachable, ErrQueueFull and ErrTooLarge; a
// message that was queued without an error may still be lost.
func (m *Messenger) Send(address, kind string, body []byte) error {
	k, err := m.linkFor(address)
	if err != nil {
		m.countDrop("unreachable")
		return err
	}
	err = k.enqueue(Envelope{Kind: kind, From: m.options.ID, Incarnation: m.options.Incarnation, Body: body})
	if errors.Is(err, ErrQueueFull) {
		m.countDrop("queue_full")
	}
	return err
}

// Call sends a message and waits for its answer. After ErrClosed, ErrUnreachable,
// ErrQueueFull and ErrTooLarge the peer has not received the call; after
// ErrLinkLost, ErrRefused and the context's error it may have executed it.
func (m *Messenger) Call(ctx context.Context, address, kind string, body []byte) ([]byte, error) {
	k, err := m.waitForLink(ctx, address)
	if err != nil {
		return nil, err
	}
	id := m.lastCallID.Add(1)
	c := &call{peer: k.peer, incarnation: k.incarnation, answer: make(chan Envelope, 1), link: k}
	m.mu.Lock()
	m.calls[id] = c
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.calls, id)
		m.mu.Unlock()
	}()
	e := Envelope{Kind: kind, From: m.options.ID, Incarnation: m.options.Incarnation, ID: id, Body: body}
	if err := k.enqueue(e); err != nil {
		return nil, err
	}
	select {
	case a := <-c.answer:
		if a.Kind == kindRefusal {
			return nil, errors.Wrapf(ErrRefused, "%s", a.Body)
		}
		return a.Body, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-k.done:
		return nil, ErrLinkLost
	}
}

// Peers returns the ids and incarnations of the peers with an open link.
func (m *Messenger) Peers() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := map[string]uint64{}
	for _, k := range m.links {
		if k.open {
			peers[k.peer] = k.incarnation
		}
	}
	return peers
}

// countDrop reports a dropped message to Options.OnDrop.
func (m *Messenger) countDrop(reason string) {
	if m.options.OnDrop != nil {
		m.options.OnDrop(reason)
	}
}

// linkFor returns the link to address and dials it if there is none.
func (m *Messenger) linkFor(address string) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, ErrClosed
	}
	if k, ok := m.links[address]; ok {
		return k, nil
	}
	if at, ok := m.failedDials[address]; ok && time.Since(at) < dialBackoff {
		return nil, ErrUnreachable
	}
	if address == "" || address == m.options.Address || len(m.links) >= maxLinks {
		return nil, ErrUnreachable
	}
	k := newLink(m, address, true)
	m.links[address] = k
	m.goroutines.Add(1)
	go m.dial(k)
	return k, nil
}

// waitForLink waits until the link to address is open. If the dial fails because
// only the peer can dial, the link that the peer opened meanwhile is used.
func (m *Messenger) waitForLink(ctx context.Context, address string) (*link, error) {
	for {
		k, err := m.linkFor(address)
		if err != nil {
			return nil, err
		}
		select {
		case <-k.ready:
			return k, nil
		case <-ctx.Done():
			return nil, errors.Mark(ctx.Err(), ErrUnreachable)
		case <-k.done:
		}
	}
}

// handleAnswer passes an answer to its call if it comes from the called process.
func (m *Messenger) handleAnswer(e Envelope) {
	m.mu.Lock()
	c, ok := m.calls[e.ID]
	if ok && (c.peer != e.From || c.incarnation != e.Incarnation) {
		m.mu.Unlock()
		m.countDrop("crossed_answer")
		return
	}
	delete(m.calls, e.ID)
	m.mu.Unlock()
	if !ok {
		m.countDrop("late_answer")
		return
	}
	c.answer <- e
}
