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

// AssignAddress assigns an address to a node. An unassigned address is a node of its
// own, whose name is the address.
func (n *Network) AssignAddress(address, node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
}

// Cut holds back the data sent from one node to another. Dials between the two
// nodes, in both directions, wait for the end of the cut and time out.
func (n *Network) Cut(from, to string) { n.change(func() { n.cut[link{from, to}] = true }) }

// Heal ends a cut.
func (n *Network) Heal(from, to string) { n.change(func() { delete(n.cut, link{from, to}) }) }

// Delay sets the transmission time from one node to another.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.change(func() { n.delay[link{from, to}] = d })
}

// Freeze blocks the reads, writes and dials of a node.
func (n *Network) Freeze(node string) { n.change(func() { n.frozen[node] = true }) }

// Thaw ends a freeze.
func (n *Network) Thaw(node string) { n.change(func() { delete(n.frozen, node) }) }

// change applies a change of the faults and wakes all blocked operations.
func (n *Network) change(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Reset closes the listeners and connections of a node.
func (n *Network) Reset(node string) {
	n.mu.Lock()
	var listeners []*listener
	for a, l := range n.listeners {
		if n.node(a) == node {
			listeners = append(listeners, l)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	n.ResetConnections(node)
}

// ResetConnections resets the connections of a node but keeps its listeners, as if
// the process had been replaced by another one at the same addresses.
func (n *Network) ResetConnections(node string) {
	n.mu.Lock()
	var conns []*conn
	for c := range n.conns {
		if c.local == node {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// Close closes all listeners and connections.
func (n *Network) Close() {
	n.mu.Lock()
	nodes := map[string]bool{}
	for a := range n.listeners {
		nodes[n.node(a)] = true
	}
	for c := range n.conns {
		nodes[c.local] = true
	}
	n.mu.Unlock()
	for node := range nodes {
		n.Reset(node)
	}
}

// node returns the node of an address. The mutex must be held.
func (n *Network) node(address string) string {
	if node, ok := n.nodes[address]; ok {
		return node
	}
	return address
}

// Listen opens a listener like net.Listen, but does not choose a port: it takes
// the address as it is.
func (n *Network) Listen(network, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, address: address, queue: make(chan *conn, backlog), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial returns a function that opens connections from a node, with the signature
// of net.Dialer.DialContext.
func (n *Network) Dial(node string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		c, err := n.dial(ctx, node, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Addr: addr(address), Err: err}
		}
		return c, nil
	}
}

// dial connects node to address once no cut separates the nodes and node is not
// frozen.
func (n *Network) dial(ctx context.Context, node, address string) (net.Conn, error) {
	for {
		n.mu.Lock()
		peer, changed := n.node(address), n.changed
		if !n.cut[link{node, peer}] && !n.cut[link{peer, node}] && !n.frozen[node] {
			defer n.mu.Unlock()
			return n.connect(node, peer, address)
		}
		n.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, os.ErrDeadlineExceeded
		}
	}
}

// connect creates both ends of a connection and queues one at the listener. The
// mutex must be held.
func (n *Network) connect(node, peer, address string) (net.Conn, error) {
	l := n.listeners[address]
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	out, in := newStream(n, node, peer), newStream(n, peer, node)
	dialled := &conn{network: n, local: node, remote: address, in: in, out: out}
	accepted := &conn{network: n, local: peer, remote: node, in: out, out: in}
	select {
	case l.queue <- accepted:
	default:
		return nil, syscall.ECONNREFUSED
	}
	n.conns[dialled], n.conns[accepted] = true, true
	return dialled, nil
}

// linkState returns whether the link is cut, its delay, and a channel that is closed
// at the next change of a fault.
func (n *Network) linkState(from, to string) (cut bool, delay time.Duration, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from, to}
	return n.cut[l], n.delay[l], n.changed
}

// nodeState returns whether a node is frozen, and a channel that is closed at the
// next change of a fault.
func (n *Network) nodeState(node string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[node], n.changed
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
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
