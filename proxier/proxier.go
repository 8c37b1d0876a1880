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

// Fault is what a proxy does to its connections. The zero value is none.
type Fault struct {
	// Delay is added to each piece of data in both directions.
	Delay clock.Millis
	// CutUp and CutDown hold back what the client and the server send, as a
	// network does that loses every packet.
	CutUp, CutDown bool
}

// Proxier forwards connections to one address. It is safe for concurrent use.
type Proxier struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed when the fault changes
	conns   map[net.Conn]bool
	closed  bool
	done    chan struct{}
}

// New forwards connections that reach address to target. An error tells that
// the address is not usable.
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

// listenTime bounds the attempts of Listen.
const listenTime = clock.Second

// Listen listens on an address that may have been closed just now. While a
// process is started, its copy of the program's descriptors keeps a closed
// listener for some milliseconds.
func Listen(address string) (net.Listener, error) {
	for end := time.Now().Add(listenTime.Duration()); ; time.Sleep(time.Millisecond) {
		l, err := net.Listen("tcp4", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, errors.Wrap(err, "proxier: listen")
		}
	}
}

// Address returns where the proxy listens.
func (p *Proxier) Address() string { return p.listener.Addr().String() }

// Set changes the fault, also for open connections.
func (p *Proxier) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset ends all open connections with a reset.
func (p *Proxier) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// Close ends the proxy and its connections.
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

// abort closes a connection with a reset instead of an orderly end.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a connection that has ended needs no reset
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

func (p *Proxier) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		abort(client)
		return
	}
	if !p.add(client, server) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, func(f Fault) bool { return f.CutUp }) })
	both.Go(func() { p.copy(client, server, func(f Fault) bool { return f.CutDown }) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{client, server} {
		delete(p.conns, c)
		_ = c.Close()
	}
}

func (p *Proxier) add(conns ...net.Conn) bool {
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

// copySize is the size of one piece of data.
const copySize = 16 << 10

// copy passes data on until one side ends. A broken connection is passed on as
// a reset, so that a cut answer never looks complete.
func (p *Proxier) copy(to, from net.Conn, cut func(Fault) bool) {
	buffer := make([]byte, copySize)
	for {
		n, err := from.Read(buffer)
		if !p.pass(cut) {
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
				_ = t.CloseWrite() // the other side may have ended
			}
			return
		default:
			abort(to)
			return
		}
	}
}

// pass waits until data may go on, and reports false if the proxy has ended.
func (p *Proxier) pass(cut func(Fault) bool) bool {
	for {
		p.mu.Lock()
		f, changed := p.fault, p.changed
		p.mu.Unlock()
		if !cut(f) {
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
