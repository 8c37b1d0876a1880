package connector

import (
	"context"
	"net"
	"sync"

	"rosemaryarch.example/rosemaryarch/clock"
)

// closeWindow is the time after a close by the engine in which a new connection
// may already reach another process.
const closeWindow = 500 * clock.Millis(1)

// Connector opens connections. Its function fields must be set before use.
type Connector struct {
	// DialContext opens the connection; see net.Dialer.DialContext.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Ended is called when the process at the address may have ended. It is
	// called before a connection that may reach the next process is returned.
	Ended func(address string)
	Now   func() clock.Millis

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is what is known of the connections to one address.
type peer struct {
	open     int
	closedAt clock.Millis // last close by the engine, 0 if none
}

// Dial opens a connection to address.
func (c *Connector) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := c.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if c.opened(address) {
		c.Ended(address)
	}
	return &conn{Conn: inner, c: c, address: address}, nil
}

// opened counts a connection and reports whether the engine has closed another
// one a moment ago.
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

// closed counts the end of a connection and reports whether the engine closed
// the last one.
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

// conn reports its end once.
type conn struct {
	net.Conn
	c       *Connector
	address string
	once    sync.Once
}

// Read reads from the engine. An error means that the engine has closed the
// connection, unless this side did.
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

func (n *conn) end(byEngine bool) {
	n.once.Do(func() {
		if n.c.closed(n.address, byEngine) {
			n.c.Ended(n.address)
		}
	})
}
