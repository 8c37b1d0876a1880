package networkemulator

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// dialTimeout bounds a dial over a cut link or from a frozen node.
const dialTimeout = 2 * time.Second

// backlog is the maximum number of connections that wait to be accepted by a
// listener. Further dials are refused.
const backlog = 256

// link is one direction between two nodes.
type link struct{ from, to string }

// Network connects nodes. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	nodes     map[string]string // by address
	listeners map[string]*listener
	conns     map[*conn]bool
	cut       map[link]bool
	delay     map[link]time.Duration
	frozen    map[string]bool
	changed   chan struct{} // closed and replaced at each change of a fault
}

// New returns a network without faults.
func New() *Network {
	return &Network{
		nodes: map[string]string{}, listeners: map[string]*listener{}, conns: map[*conn]bool{},
		cut: map[link]bool{}, delay: map[link]time.Duration{}, frozen: map[string]bool{},
		changed: make(chan struct{}),
	}
}

// AssignAddress assigns an address to a node. An unassigned address is a node of its own,
// whose name is the address.
func (s *Network) AssignAddress(address, node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[address] = node
}

// Cut holds back the data sent from one node to another. Dials between the two
// nodes, in both directions, wait for the end of the cut and time out.
func (s *Network) Cut(from, to string) { s.change(func() { s.cut[link{from, to}] = true }) }

// Heal ends a cut.
func (s *Network) Heal(from, to string) { s.change(func() { delete(s.cut, link{from, to}) }) }

// Delay sets the transmission time from one node to another.
func (s *Network) Delay(from, to string, d time.Duration) {
	s.change(func() { s.delay[link{from, to}] = d })
}

// Freeze blocks the reads, writes and dials of a node.
func (s *Network) Freeze(node string) { s.change(func() { s.frozen[node] = true }) }

// Thaw ends a freeze.
func (s *Network) Thaw(node string) { s.change(func() { delete(s.frozen, node) }) }

// change applies a change of the faults and wakes all blocked operations.
func (s *Network) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Reset closes the listeners and connections of a node.
func (s *Network) Reset(node string) {
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
	s.ResetConnections(node)
}

// ResetConnections resets the connections of a node but keeps its listeners, as if the process
// had been replaced by another one at the same addresses.
func (s *Network) ResetConnections(node string) {
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
func (s *Network) Close() {
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

// node returns the node of an address. The mutex must be held.
func (s *Network) node(address string) string {
	if n, ok := s.nodes[address]; ok {
		return n
	}
	return address
}

// Listen opens a listener like net.Listen, but does not choose a port: it takes
// the address as it is.
func (s *Network) Listen(network, address string) (net.Listener, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{network: s, address: address, queue: make(chan *conn, backlog), done: make(chan struct{})}
	s.listeners[address] = l
	return l, nil
}

// Dial returns a function that opens connections from a node, with the signature
// of net.Dialer.DialContext.
func (s *Network) Dial(node string) func(ctx context.Context, network, address string) (net.Conn, error) {
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

// dial connects node to address once no cut separates the nodes and node is not
// frozen.
func (s *Network) dial(ctx context.Context, node, address string) (net.Conn, error) {
	for {
		s.mu.Lock()
		peer, changed := s.node(address), s.changed
		if !s.cut[link{node, peer}] && !s.cut[link{peer, node}] && !s.frozen[node] {
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

// connect creates both ends of a connection and queues one at the listener. The
// mutex must be held.
func (s *Network) connect(node, peer, address string) (net.Conn, error) {
	l := s.listeners[address]
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	out, in := newStream(s, node, peer), newStream(s, peer, node)
	dialled := &conn{network: s, local: node, remote: address, in: in, out: out}
	accepted := &conn{network: s, local: peer, remote: node, in: out, out: in}
	select {
	case l.queue <- accepted:
	default:
		return nil, syscall.ECONNREFUSED
	}
	s.conns[dialled], s.conns[accepted] = true, true
	return dialled, nil
}

// linkState returns whether data is held back on a link, its delay, and a channel
// that is closed at the next change of a fault.
func (s *Network) linkState(from, to string) (held bool, delay time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := link{from, to}
	return s.cut[p], s.delay[p], s.changed
}

// nodeState returns whether a node is frozen, and a channel that is closed at the
// next change of a fault.
func (s *Network) nodeState(node string) (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen[node], s.changed
}

func (s *Network) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// addr is an address or a node as a net.Addr.
type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

type listener struct {
	network *Network
	address string
	queue   chan *conn
	done    chan struct{}
	once    sync.Once
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

// Close closes the listener and resets the connections that were not accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
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

// Addr returns the address of the listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }
