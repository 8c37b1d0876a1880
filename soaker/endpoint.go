package soaker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/proxier"
)

const (
	// slots is the number of concurrent requests that an endpoint announces.
	slots = 16
	// fullShare and failShare are the shares of requests that an endpoint refuses
	// as full and answers with an error without a fault of the schedule.
	fullShare = 0.02
	failShare = 0.01
)

// endpoint is an emulated endpoint behind a fault-injecting proxy. It answers with
// texts and streams that follow from the request id, so that callers can verify
// them.
type endpoint struct {
	soak    *Soaker
	index   int
	service string
	proxy   atomic.Pointer[proxier.Proxier]
	faultMu sync.Mutex   // held by a fault that ends the endpoint
	spoil   atomic.Int64 // 1 plus the index of the spoiler in use; 0: none

	mu         sync.Mutex
	generation int // number of starts
	id         string
	draining   bool
	listed     bool         // its entry is in the store
	drainedAt  clock.Millis // when the store acknowledged that the endpoint leaves; 0: it does not leave
	sequence   int64        // of the published entry, counted from each start
	startedAt  int64        // Unix time in ms
	server     *http.Server
}

func newEndpoint(s *Soaker, i int, service string) (*endpoint, error) {
	e := &endpoint{soak: s, index: i, service: service}
	return e, e.open(false)
}

// open starts a proxy and the endpoint behind it.
func (e *endpoint) open(sameID bool) error {
	s := e.soak
	p, err := proxier.New(s.address(endpointHost, proxyPort+e.index), s.address(endpointHost, endpointPort+e.index))
	if err != nil {
		return err
	}
	e.proxy.Store(p)
	return e.start(sameID)
}

// start starts the next generation of the endpoint, with the same id or a new one.
func (e *endpoint) start(sameID bool) error {
	l, err := proxier.Listen(e.soak.address(endpointHost, endpointPort+e.index))
	if err != nil {
		return err
	}
	server := serve(l, e)
	e.mu.Lock()
	e.generation++
	if !sameID || e.id == "" {
		e.id = fmt.Sprintf("i-%d-%d", e.index, e.generation)
	}
	e.draining, e.drainedAt, e.sequence, e.server = false, 0, 0, server
	e.startedAt = time.Now().UnixMilli()
	e.mu.Unlock()
	return e.publish()
}

// publish writes the endpoint's entry to the store.
func (e *endpoint) publish() error {
	e.mu.Lock()
	e.sequence++
	e.listed = true
	entry := cataloger.Endpoint{
		ID: e.id, Service: e.service, Address: e.proxy.Load().Address(), DataCentre: dataCentre(e.index), Version: "v1",
		Slots: slots, Draining: e.draining, Sequence: e.sequence, StartedAt: e.startedAt,
	}
	e.mu.Unlock()
	text, err := platform.EncodeEndpoint(entry)
	if err != nil {
		return err
	}
	return e.soak.store.Put(platform.EndpointKind, entry.ID, text)
}

// crash closes the server and resets its connections without notice.
func (e *endpoint) crash() {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	_ = server.Close() // only the error of closing the listener
	e.proxy.Load().Reset()
}

// remove deletes the entry from the store, as the platform does when an endpoint
// has left or no longer reports.
func (e *endpoint) remove() {
	e.mu.Lock()
	id := e.id
	e.listed = false
	e.mu.Unlock()
	e.soak.store.Delete(platform.EndpointKind, id)
}

// drain publishes that the endpoint leaves.
func (e *endpoint) drain() error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	if err := e.publish(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drainedAt = e.soak.clock.Now()
	return nil
}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close() // the run is over
	e.proxy.Load().Close()
}

// ServeHTTP answers one request as an endpoint of the platform does.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := platform.HeaderNames()
	e.mu.Lock()
	id, drainedAt, generation := e.id, e.drainedAt, e.generation
	e.mu.Unlock()
	request := r.Header.Get(n.ID)
	crashes := strings.Contains(r.Header.Get(n.Prefix), e.soak.crashPart+":")
	if crashes {
		e.soak.checker.recordPrompt(&e.soak.checker.arrivals, request)
	}
	w.Header().Set(n.ID, request)
	switch {
	case r.Header.Get(n.Target) != id:
		w.Header().Set(n.NotExecuted, "wrong target")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case rand.Float64() < fullShare:
		w.Header().Set(n.NotExecuted, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request was cut and is not executed
	}
	e.soak.checker.recordExecution(execution{
		id: request, endpoint: id, at: e.soak.clock.Now(), method: r.Method, target: r.RequestURI, body: string(body),
		workspace: r.Header.Get(n.Workspace), key: r.Header.Get(n.Key), drainedAt: drainedAt,
	})
	if crashes {
		e.crashOnPrompt(w, request, generation)
	}
	if i := e.spoil.Load(); i > 0 && rand.Float64() < spoiledShare && spoilAnswer(w, request, spoilers[i-1]) {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		e.stream(w, r, request)
		return
	}
	time.Sleep((5 + clock.Millis(rand.IntN(50))).Duration())
	w.Header().Set(n.Signature, "signed "+request)
	if rand.Float64() < failShare {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, plainAnswer(request)) // the router may have closed the connection
}

// stream sends the events of a stream one by one, after Last-Event-Id if given.
// The answer of the small model carries a confidence.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, request string) {
	n := platform.HeaderNames()
	from := 1
	if last, err := strconv.Atoi(r.Header.Get(n.LastEvent)); err == nil {
		from = last + 1
	}
	pause := 15 * time.Millisecond
	if r.Header.Get(n.Model) == smallModel {
		w.Header().Set(n.Confidence, strconv.FormatUint(matcher.Hash("confidence", request)%100, 10))
		pause = 5 * time.Millisecond
	}
	w.Header().Set(n.Signature, "signed "+request)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for i := from; i <= streamLength(request); i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pause):
		}
		if _, err := io.WriteString(w, event(request, i)); err != nil || out.Flush() != nil {
			return
		}
	}
}

// plainAnswer returns the complete answer to a plain request.
func plainAnswer(request string) string {
	return request + strings.Repeat(" answer", int(matcher.Hash("size", request)%200))
}

// streamLength returns the number of events in the stream of a request, 2 to 41.
func streamLength(request string) int { return 2 + int(matcher.Hash("length", request)%40) }

// event returns the i-th event, from 1, of the stream of a request.
func event(request string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, request, i)
}

// serve serves h on l until the returned server is closed.
func serve(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // it returns when the server is closed
	return server
}
