package switcher

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// dialTimeout bounds a dial over a cut link whose context has no deadline.
const dialTimeout = 2 * time.Second

// backlog is the number of connections that a listener has not accepted yet.
const backlog = 256

// pair is a direction between two nodes.
type pair struct{ from, to string }

// Switcher connects nodes. It is safe for concurrent use.
type Switcher struct {
	mu        sync.Mutex
	names     map[string]string // node by address
	listeners map[string]*listener
	conns     map[*conn]bool
	cut       map[pair]bool
	delay     map[pair]time.Duration
	frozen    map[string]bool
	changed   chan struct{}
}

// New returns a network without faults.
func New() *Switcher {
	return &Switcher{
		names: map[string]string{}, listeners: map[string]*listener{}, conns: map[*conn]bool{},
		cut: map[pair]bool{}, delay: map[pair]time.Duration{}, frozen: map[string]bool{},
		changed: make(chan struct{}),
	}
}

// Name makes an address belong to a node. An address without a name is a node
// of its own.
func (s *Switcher) Name(address, node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[address] = node
}

// Cut holds back what from sends to to. Dials between the two fail.
func (s *Switcher) Cut(from, to string) { s.change(func() { s.cut[pair{from, to}] = true }) }

// Heal ends a cut.
func (s *Switcher) Heal(from, to string) { s.change(func() { delete(s.cut, pair{from, to}) }) }

// Delay sets the time that data takes from one node to another.
func (s *Switcher) Delay(from, to string, d time.Duration) {
	s.change(func() { s.delay[pair{from, to}] = d })
}

// Freeze stops the reads, writes and dials of a node.
func (s *Switcher) Freeze(node string) { s.change(func() { s.frozen[node] = true }) }

// Thaw ends a freeze.
func (s *Switcher) Thaw(node string) { s.change(func() { delete(s.frozen, node) }) }

func (s *Switcher) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Reset closes the listeners and connections of a node.
func (s *Switcher) Reset(node string) {
	s.mu.Lock()
	var listeners []*listener
	for a, l := range s.listeners {
		if s.node(a) == node {
			listeners = append(listeners, l)
		}
	}
	s.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	s.Drop(node)
}

// Drop closes the connections of a node, as a process does that is replaced by
// another one at the same address.
func (s *Switcher) Drop(node string) {
	s.mu.Lock()
	var conns []*conn
	for c := range s.conns {
		if c.local == node {
			conns = append(conns, c)
		}
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// Close closes all listeners and connections.
func (s *Switcher) Close() {
	s.mu.Lock()
	nodes := map[string]bool{}
	for a := range s.listeners {
		nodes[s.node(a)] = true
	}
	for c := range s.conns {
		nodes[c.local] = true
	}
	s.mu.Unlock()
	for n := range nodes {
		s.Reset(n)
	}
}

// node returns the node of an address. The mutex is held.
func (s *Switcher) node(address string) string {
	if n, ok := s.names[address]; ok {
		return n
	}
	return address
}

// Listen opens a listener. It is like net.Listen, but needs a full address.
func (s *Switcher) Listen(network, address string) (net.Listener, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{switcher: s, address: address, queue: make(chan *conn, backlog), done: make(chan struct{})}
	s.listeners[address] = l
	return l, nil
}

// Dial returns a function that opens connections of a node, like the method
// DialContext of net.Dialer.
func (s *Switcher) Dial(node string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		c, err := s.dial(ctx, node, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Addr: addr(address), Err: err}
		}
		return c, nil
	}
}

func (s *Switcher) dial(ctx context.Context, node, address string) (net.Conn, error) {
	for {
		s.mu.Lock()
		peer, changed := s.node(address), s.changed
		if !s.cut[pair{node, peer}] && !s.cut[pair{peer, node}] && !s.frozen[node] {
			defer s.mu.Unlock()
			return s.connect(node, peer, address)
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, os.ErrDeadlineExceeded
		}
	}
}

// connect makes both ends of a connection. The mutex is held.
func (s *Switcher) connect(node, peer, address string) (net.Conn, error) {
	l := s.listeners[address]
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	out, in := newStream(s, node, peer), newStream(s, peer, node)
	near := &conn{switcher: s, local: node, remote: address, in: in, out: out}
	far := &conn{switcher: s, local: peer, remote: node, in: out, out: in}
	select {
	case l.queue <- far:
	default:
		return nil, syscall.ECONNREFUSED
	}
	s.conns[near], s.conns[far] = true, true
	return near, nil
}

// link returns the state of a direction: whether data is held back, the delay,
// and a channel that is closed at the next change.
func (s *Switcher) link(from, to string) (held bool, delay time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := pair{from, to}
	return s.cut[p], s.delay[p], s.changed
}

// stopped reports whether a node is frozen.
func (s *Switcher) stopped(node string) (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen[node], s.changed
}

func (s *Switcher) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// addr is the address of a node.
type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

type listener struct {
	switcher *Switcher
	address  string
	queue    chan *conn
	done     chan struct{}
	once     sync.Once
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener and resets the connections that were not accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.switcher.mu.Lock()
		delete(l.switcher.listeners, l.address)
		l.switcher.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.queue:
				c.reset()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the address that was listened on.
func (l *listener) Addr() net.Addr { return addr(l.address) }
