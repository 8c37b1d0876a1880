package connector

import (
	"context"
	"net"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

// closeWindow is the time after a close by the engine during which a new
// connection is assumed to reach another process.
const closeWindow = 500 * clock.Millis(1)

// Connector opens connections to engines and tracks them by address. Its function
// fields must be set before use. It is safe for concurrent use.
type Connector struct {
	// DialContext opens the connection; see net.Dialer.DialContext.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// ProcessEnded is called when the process at the address may have ended. If a
	// new connection may reach the next process, it is called before Dial returns.
	ProcessEnded func(address string)
	// Now returns the present instant; see clock.Clock.
	Now func() clock.Millis

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the state of the connections to one address.
type peer struct {
	open     int          // number of open connections
	closedAt clock.Millis // last close by the engine, 0 if none
}

// Dial opens a connection to address.
func (c *Connector) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := c.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if c.opened(address) {
		c.ProcessEnded(address)
	}
	return &conn{Conn: inner, connector: c, address: address}, nil
}

// opened counts a new connection and reports whether the engine closed another
// one within closeWindow.
func (c *Connector) opened(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil {
		c.peers = map[string]*peer{}
	}
	p, ok := c.peers[address]
	if !ok {
		p = &peer{}
		c.peers[address] = p
	}
	p.open++
	return p.closedAt > 0 && c.Now() < p.closedAt+closeWindow
}

// closed counts the end of a connection and reports whether the engine closed it
// and it was the last one.
func (c *Connector) closed(address string, byEngine bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	p.open--
	if byEngine {
		p.closedAt = c.Now()
	}
	return byEngine && p.open == 0
}

// conn reports its end to the connector once.
type conn struct {
	net.Conn
	connector *Connector
	address   string
	once      sync.Once
}

// Read reads from the engine. An error counts as a close by the engine, unless
// Close was called before.
func (n *conn) Read(b []byte) (int, error) {
	read, err := n.Conn.Read(b)
	if err != nil {
		n.end(true)
	}
	return read, err
}

// Close closes the connection from this side.
func (n *conn) Close() error {
	n.end(false)
	return n.Conn.Close()
}

// end records the end of the connection; only the first call has an effect.
func (n *conn) end(byEngine bool) {
	n.once.Do(func() {
		if n.connector.closed(n.address, byEngine) {
			n.connector.ProcessEnded(n.address)
		}
	})
}
