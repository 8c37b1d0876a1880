package linker

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

// Sentinels of Send and Call.
var (
	// ErrClosed tells that the linker was closed.
	ErrClosed = errors.New("linker: closed")
	// ErrQueueFull tells that the message was not sent because too many wait.
	ErrQueueFull = errors.New("linker: queue full")
	// ErrTooLarge tells that the message exceeds MaxMessageBytes.
	ErrTooLarge = errors.New("linker: message too large")
	// ErrUnreachable tells that no link could be opened: nothing was sent.
	ErrUnreachable = errors.New("linker: peer unreachable")
	// ErrLost tells that the link closed before the answer: the peer may have
	// executed the call.
	ErrLost = errors.New("linker: link lost before the answer")
	// ErrRefused tells that the peer's handler returned an error.
	ErrRefused = errors.New("linker: call refused")
)

const (
	dialTimeout   = 2 * time.Second
	dialBackoff   = 250 * time.Millisecond // between two dials of one address
	retireGrace   = 5 * time.Second        // a duplicate link drains for this time
	writeTimeout  = 5 * time.Second
	maxQueued     = 256
	maxQueueBytes = 4 << 20
	maxServed     = 64
	maxLinks      = 1024
)

// Options are the identity and the seams of a linker.
type Options struct {
	// ID, Incarnation and Address identify this process towards its peers.
	// Address is where peers reach this instance, as host:port.
	ID          string
	Incarnation uint64
	Address     string
	// Secrets returns the accepted shared secrets. The first one is used for
	// own proofs. It is called for each handshake, so that a rotation needs no
	// restart. Without secrets no link opens.
	Secrets func() [][]byte
	// TLS is the client side of mutual TLS; nil means plain WebSocket.
	TLS *tls.Config
	// Path is where the peer mounts its linker; "/peer" if empty.
	Path string
	// Dial opens the transport connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Dropped is called for each message that is dropped, with the reason. It
	// may be nil.
	Dropped func(reason string)
}

type handler func(ctx context.Context, e Envelope) ([]byte, error)

type call struct {
	peer        string
	incarnation uint64
	answer      chan Envelope
	link        *link
}

// Linker holds the links of one instance. It is an http.Handler that accepts
// links. It is safe for concurrent use.
type Linker struct {
	opts   Options
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	links    map[string]*link // by the peer's address
	failed   map[string]time.Time
	handlers map[string]handler
	calls    map[uint64]*call
	accepted int
	nextCall atomic.Uint64
}

// New returns a linker that works until done is closed or Close is called.
func New(o Options, done <-chan struct{}) *Linker {
	if o.Path == "" {
		o.Path = "/peer"
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Linker{
		opts:     o,
		ctx:      ctx,
		cancel:   cancel,
		links:    map[string]*link{},
		failed:   map[string]time.Time{},
		handlers: map[string]handler{},
		calls:    map[uint64]*call{},
	}
	l.client = &http.Client{Transport: &http.Transport{
		DialContext: o.Dial, TLSClientConfig: o.TLS, DisableKeepAlives: true,
	}}
	go func() {
		select {
		case <-done:
			l.Close()
		case <-ctx.Done():
		}
	}()
	return l
}

// Close ends all links and waits for their goroutines.
func (l *Linker) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.group.Wait()
}

// Handle registers the function that serves messages of one kind. Its answer
// is sent if the message is a call. It panics if the kind is taken.
func (l *Linker) Handle(kind string, serve func(ctx context.Context, e Envelope) ([]byte, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.handlers[kind]; ok || kind == kindAnswer || kind == kindRefusal {
		panic("linker: duplicate handler for " + kind)
	}
	l.handlers[kind] = serve
}

// Send queues a one-way message for the peer at address and returns at once.
// The message is dropped and counted if the queue is full or the link fails.
// The errors are ErrClosed, ErrUnreachable, ErrQueueFull and ErrTooLarge; without one,
// the message may still be lost.
func (l *Linker) Send(address, kind string, body []byte) error {
	k, err := l.linkTo(address)
	if err != nil {
		l.drop("unreachable")
		return err
	}
	err = k.push(Envelope{Kind: kind, From: l.opts.ID, Incarnation: l.opts.Incarnation, Body: body})
	if errors.Is(err, ErrQueueFull) {
		l.drop("queue_full")
	}
	return err
}

// Call sends a message and waits for its answer. ErrUnreachable, ErrQueueFull
// and ErrTooLarge tell that the peer did not get the call; after ErrLost and
// after the context's error it may have executed it.
func (l *Linker) Call(ctx context.Context, address, kind string, body []byte) ([]byte, error) {
	k, err := l.openLink(ctx, address)
	if err != nil {
		return nil, err
	}
	id := l.nextCall.Add(1)
	c := &call{peer: k.peer, incarnation: k.incarnation, answer: make(chan Envelope, 1), link: k}
	l.mu.Lock()
	l.calls[id] = c
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.calls, id)
		l.mu.Unlock()
	}()
	e := Envelope{Kind: kind, From: l.opts.ID, Incarnation: l.opts.Incarnation, ID: id, Body: body}
	if err := k.push(e); err != nil {
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
		return nil, ErrLost
	}
}

// Peers returns the ids and incarnations of the peers with an open link.
func (l *Linker) Peers() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := map[string]uint64{}
	for _, k := range l.links {
		if k.open {
			peers[k.peer] = k.incarnation
		}
	}
	return peers
}

func (l *Linker) drop(reason string) {
	if l.opts.Dropped != nil {
		l.opts.Dropped(reason)
	}
}

// linkTo returns the link to address and dials it if there is none.
func (l *Linker) linkTo(address string) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, ErrClosed
	}
	if k, ok := l.links[address]; ok {
		return k, nil
	}
	if at, ok := l.failed[address]; ok && time.Since(at) < dialBackoff {
		return nil, ErrUnreachable
	}
	if address == "" || address == l.opts.Address || len(l.links) >= maxLinks {
		return nil, ErrUnreachable
	}
	k := newLink(l, address, true)
	l.links[address] = k
	l.group.Add(1)
	go l.dial(k)
	return k, nil
}

// openLink waits until the link to address is open. If the dial fails because
// only the peer can dial, the link that the peer opened meanwhile is used.
func (l *Linker) openLink(ctx context.Context, address string) (*link, error) {
	for {
		k, err := l.linkTo(address)
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

// answered hands an answer to its call if it comes from the called process.
func (l *Linker) answered(e Envelope) {
	l.mu.Lock()
	c, ok := l.calls[e.ID]
	if ok && (c.peer != e.From || c.incarnation != e.Incarnation) {
		l.mu.Unlock()
		l.drop("crossed_answer")
		return
	}
	delete(l.calls, e.ID)
	l.mu.Unlock()
	if !ok {
		l.drop("late_answer")
		return
	}
	c.answer <- e
}
