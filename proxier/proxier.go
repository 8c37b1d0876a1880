package proxier

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Fault is a fault of all connections of a proxy. The zero value injects none.
type Fault struct {
	// Delay is the time in ms for which each chunk of data is delayed, in both
	// directions.
	Delay clock.Millis
	// BlockUpstream and BlockDownstream hold back the data sent by the client and by
	// the server, like a network that loses all packets of that direction.
	BlockUpstream, BlockDownstream bool
	// Answer, if not empty, is sent to each new client instead of connecting it: the
	// target refuses this client and serves others.
	Answer string
}

// Proxier forwards connections to one address. It is safe for concurrent use.
type Proxier struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	fault   Fault
	changed chan struct{}     // closed when the fault changes
	conns   map[net.Conn]bool // open connections, to clients and to the target
	closed  bool
	done    chan struct{} // closed by Close
}

// New listens on address and forwards connections to target. It fails if it
// cannot listen on address.
func New(address, target string) (*Proxier, error) {
	l, err := Listen(address)
	if err != nil {
		return nil, err
	}
	p := &Proxier{
		target: target, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool),
		done: make(chan struct{}),
	}
	go p.accept()
	return p, nil
}

// listenTimeout bounds the retries of Listen.
const listenTimeout = clock.Second

// Listen listens on an address whose former listener may just have been closed. It
// retries while the address is in use: when a process is started, the copy of
// this process's file descriptors keeps a closed listener open for a few
// milliseconds.
func Listen(address string) (net.Listener, error) {
	for end := time.Now().Add(listenTimeout.Duration()); ; time.Sleep(time.Millisecond) {
		l, err := net.Listen("tcp4", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, errors.Wrap(err, "proxier: listen")
		}
	}
}

// Address returns the address on which the proxy listens.
func (p *Proxier) Address() string { return p.listener.Addr().String() }

// SetFault replaces the fault of all connections, including open ones.
func (p *Proxier) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets all open connections.
func (p *Proxier) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// Close closes the listener and resets all connections.
func (p *Proxier) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.done)
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
}

// abort closes a connection with a reset (RST) instead of a regular end (FIN).
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails if the connection is closed, which then needs no reset
	}
	_ = c.Close()
}

func (p *Proxier) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(c)
	}
}

// answerTimeout bounds the wait for a request to which Fault.Answer is sent.
const answerTimeout = clock.Second

// serve connects to the target and forwards data in both directions until both
// have ended. The client connection is reset if the target is unreachable.
func (p *Proxier) serve(client net.Conn) {
	p.mu.Lock()
	answer := p.fault.Answer
	p.mu.Unlock()
	if answer != "" {
		defer client.Close()
		_ = client.SetDeadline(time.Now().Add(answerTimeout.Duration()))
		if _, err := client.Read(make([]byte, bufferBytes)); err == nil {
			_, _ = io.WriteString(client, answer) // the client may have left
		}
		return
	}
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		abort(client)
		return
	}
	if !p.addConns(client, server) {
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { p.forward(server, client, func(f Fault) bool { return f.BlockUpstream }) })
	copies.Go(func() { p.forward(client, server, func(f Fault) bool { return f.BlockDownstream }) })
	copies.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{client, server} {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// addConns registers connections for Reset. If the proxy is closed, it resets them
// and returns false.
func (p *Proxier) addConns(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if p.closed {
			abort(c)
			continue
		}
		p.conns[c] = true
	}
	return !p.closed
}

// bufferBytes is the maximum size of a chunk of data.
const bufferBytes = 16 << 10

// forward copies data until one side ends. It forwards the end of from, and resets
// the other side if a connection fails, so that a truncated response never looks
// complete. blocked selects the flag of the fault for this direction.
func (p *Proxier) forward(to, from net.Conn, blocked func(Fault) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if !p.waitUnblocked(blocked) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite() // fails if the other side has already ended
			}
			return
		default:
			abort(to)
			return
		}
	}
}

// waitUnblocked waits until the direction is not blocked, then for the delay. It returns
// false if the proxy is closed.
func (p *Proxier) waitUnblocked(blocked func(Fault) bool) bool {
	for {
		p.mu.Lock()
		f, changed := p.fault, p.changed
		p.mu.Unlock()
		if !blocked(f) {
			if f.Delay > 0 {
				time.Sleep(f.Delay.Duration())
			}
			return true
		}
		select {
		case <-changed:
		case <-p.done:
			return false
		}
	}
}
