package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"rosemaryarch.example/rosemaryarch/balancer"
	"rosemaryarch.example/rosemaryarch/breaker"
	"rosemaryarch.example/rosemaryarch/budgeter"
	"rosemaryarch.example/rosemaryarch/calibrator"
	"rosemaryarch.example/rosemaryarch/capper"
	"rosemaryarch.example/rosemaryarch/cascader"
	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/meter"
	"rosemaryarch.example/rosemaryarch/pauser"
	"rosemaryarch.example/rosemaryarch/quarantiner"
	"rosemaryarch.example/rosemaryarch/reserver"
	"rosemaryarch.example/rosemaryarch/slowstarter"
	"rosemaryarch.example/rosemaryarch/spooler"
	"rosemaryarch.example/rosemaryarch/stager"
	"rosemaryarch.example/rosemaryarch/throttler"
)

// names are header names for tests.
var names = HeaderNames{
	ID: "X-Id", Deadline: "X-Deadline", Key: "X-Key", Workspace: "X-Workspace", Target: "X-Target",
	NotExecuted: "X-Not-Run", Signature: "X-Signature", Limit: "X-Limit", Prefix: "X-Prefix", Tokens: "X-Tokens",
	LengthHint: "X-Hint", Model: "X-Model", Confidence: "X-Confidence", Priority: "X-Priority", Session: "X-Session",
	LastEvent: "Last-Event-Id", Leaving: "X-Leaving",
	Reserved: []string{"X-Reserved", "X-Priority"},
}

// handler serves one request on a raw connection and reports whether the
// connection stays open.
type handler func(c net.Conn, r *http.Request, body string) bool

// endpoint is a server whose handler controls the bytes on its connections.
type endpoint struct {
	t        *testing.T
	id       string
	listener net.Listener
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	handle   handler
	ended    sync.Once
}

func (e *endpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

func (e *endpoint) last() (*http.Request, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[len(e.requests)-1], e.bodies[len(e.bodies)-1]
}

// end stops listening and keeps the port, so that connections are refused: a test that runs in
// another process at the same time could get the port and answer.
func (e *endpoint) end() { e.ended.Do(e.keepPort) }

func (e *endpoint) keepPort() {
	port := e.listener.Addr().(*net.TCPAddr).Port
	_ = e.listener.Close()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		e.t.Error(err)
		return
	}
	e.t.Cleanup(func() { _ = unix.Close(fd) })
	// With the option the port can be bound in spite of earlier connections; without it no
	// other socket gets it.
	for _, step := range []func() error{
		func() error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) },
		func() error { return unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}) },
		func() error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 0) },
	} {
		if err := step(); err != nil {
			e.t.Errorf("keep port %d: %v", port, err)
			return
		}
	}
}

func (e *endpoint) serve() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(r.Body)
				e.mu.Lock()
				e.requests = append(e.requests, r)
				e.bodies = append(e.bodies, string(body))
				e.mu.Unlock()
				if !e.handle(c, r, string(body)) {
					return
				}
			}
		}()
	}
}

// writeResponse writes a response with length, id and signature.
func writeResponse(c net.Conn, r *http.Request, status int, body string, headers ...string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: %d\r\n",
		status, r.Header.Get("X-Id"), len(body))
	if len(headers) > 0 {
		head += strings.Join(headers, "\r\n") + "\r\n"
	}
	_, err := io.WriteString(c, head+"\r\n"+body)
	return err == nil
}

// writeEvents writes a chunked stream of the events from to to, complete or cut
// off inside an event.
func writeEvents(c net.Conn, r *http.Request, from, to int, complete bool, headers ...string) bool {
	head := "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Signature: s\r\n" +
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	if len(headers) > 0 {
		head += strings.Join(headers, "\r\n") + "\r\n"
	}
	_, _ = io.WriteString(c, head+"\r\n")
	for i := from; i <= to; i++ {
		event := fmt.Sprintf("id: %d\ndata: p%d\n\n", i, i)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	if !complete {
		_, _ = io.WriteString(c, "14\r\nid: 99\nda")
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// fleet is a dispatcher behind an HTTP server, with its endpoints.
type fleet struct {
	t          *testing.T
	dispatcher *Dispatcher
	frontend   *httptest.Server
	endpoints  []*endpoint
	catalog    *cataloger.Cataloger
	stager     *stager.Stager
	config     matcher.Config
	mu         sync.Mutex
	table      *matcher.Table
	confirmed  func() clock.Millis
	evacuated  map[string]bool
	forwarder  *forwarder.Forwarder
	quarantine *quarantiner.Quarantiner
	memory     *reserver.Reserver
}

// smallestMemory is the memory of the smallest instance in bytes.
const smallestMemory = 112 << 20

// route returns a public route of the given kind to service "s".
func route(kind matcher.Kind, change func(*matcher.Route)) matcher.Route {
	r := matcher.Route{
		Name: "r", Host: "h.example", PathPrefix: "/a/", Kind: kind, Timeout: 3000, Target: 200, Attempts: 3,
		Public: true, Backends: []matcher.Backend{{Service: "s", Weight: 1}},
	}
	if change != nil {
		change(&r)
	}
	return r
}

// newFleet starts one endpoint for each handler.
func newFleet(t *testing.T, r matcher.Route, handlers ...handler) *fleet {
	t.Helper()
	f := &fleet{
		t:          t,
		catalog:    cataloger.New(),
		stager:     stager.New(stager.Options{SessionAge: 6000}),
		evacuated:  map[string]bool{},
		quarantine: quarantiner.New(),
		memory:     reserver.New(smallestMemory/8, func() {}),
	}
	ck := clock.Boot()
	f.confirmed = ck.Now
	f.config = matcher.Config{
		Version: 1, Routes: []matcher.Route{r}, Services: []matcher.Service{{Name: "s"}},
		Limits:     matcher.Limits{BodyBytes: 1 << 20, HeaderBytes: 16 << 10},
		Workspaces: map[string]matcher.Workspace{"good": {Name: "w"}},
	}
	f.table = matcher.New(f.config)
	var list []cataloger.Endpoint
	for i, handle := range handlers {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		e := &endpoint{t: t, id: fmt.Sprintf("e%d", i), listener: listener, handle: handle}
		go e.serve()
		t.Cleanup(func() { _ = listener.Close() })
		f.endpoints = append(f.endpoints, e)
		list = append(list, cataloger.Endpoint{
			ID: e.id, Service: "s", Address: listener.Addr().String(), DataCentre: "dc", Version: "v1", Slots: 8,
		})
	}
	f.catalog.Replace(ck.Now(), list)
	f.forwarder = forwarder.New(forwarder.Options{Clock: ck, DialTimeout: 400, IDHeader: names.ID, Memory: f.memory})
	f.dispatcher = New(f.options(ck))
	f.frontend = httptest.NewServer(f.dispatcher)
	t.Cleanup(f.frontend.Close)
	return f
}

func (f *fleet) options(ck clock.Clock) Options {
	requestLog := logger.New(io.Discard, "test", time.Now)
	f.t.Cleanup(func() { requestLog.Close(clock.Second) })
	return Options{
		Clock: ck, DataCentre: "dc", Names: names,
		Bounds: func() Bounds { return Bounds{KeyAge: 3500, WarmupOvershoot: 1.5, WarmupSlack: 5} },
		Table: func() *matcher.Table {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.table
		},
		Confirmed: func() clock.Millis { return f.confirmed() },
		Evacuated: func(dc string) bool { return f.evacuated[dc] },
		Catalog:   f.catalog, Stager: f.stager,
		Budget:      budgeter.New(budgeter.Options{Window: 10 * clock.Second, Ratio: 0.9, Slack: 50}),
		SlowStarter: slowstarter.New(),
		Capper:      capper.New(),
		Pauser:      pauser.New(),
		Calibrator:  calibrator.New(calibrator.Options{Plain: 30}),
		Quarantine:  f.quarantine, TakesTrials: func() bool { return true },
		Forwarder: f.forwarder, Spooler: spooler.New(smallestMemory / 8),
		Balancer: balancer.Default(), Cascader: cascader.Default(),
		Breaker: breaker.Options{
			Window: 5000, MinRequests: 6, ErrorRate: 0.45, ConsecutiveErrors: 3, OpenFor: 700, OpenMax: 4000, MaxProbes: 1,
			ProbeSuccesses: 2, ProbeTimeout: 3000, MaxOpenShare: 0.5,
		},
		Meter: meter.New(), Logger: requestLog, Members: func() int { return 1 },
		ColdSenders: func() (int, int) { return 1, 0 },
		Ready:       func() int { return 1 },
		Sharers: func(string) capper.Instances {
			return capper.Instances{Self: "i", Names: []string{"i"}}
		},
		PeerRates:   func(string) throttler.PeerRates { return throttler.PeerRates{} },
		PeerRetries: func(string) budgeter.PeerCounts { return budgeter.PeerCounts{} },
		PeerReady:   func() bool { return false },
		PeerLoad:    func(uint64) (float64, int, float64) { return 0, 0, 0 },
	}
}

// setConfig replaces the configuration.
func (f *fleet) setConfig(c matcher.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = matcher.New(c)
}

// sent returns the number of requests that reached endpoints.
func (f *fleet) sent() int {
	n := 0
	for _, e := range f.endpoints {
		n += e.count()
	}
	return n
}

// response is what the client received.
type response struct {
	status int
	header http.Header
	body   string
	err    error // the response is incomplete
}

// do sends a request through the dispatcher. headers holds names and values
// alternately.
func (f *fleet) do(method, path, body string, headers ...string) response {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, f.frontend.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set(names.ID, "id-1")
	r.Header.Set(names.Deadline, "3000")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}
