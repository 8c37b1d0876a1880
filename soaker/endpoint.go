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
	"time"

	"rosemaryarch.example/rosemaryarch/cataloger"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/proxier"
)

const (
	// slots is the number of requests that an endpoint runs at once.
	slots = 16
	// fullShare and failShare are the parts of the requests that an endpoint
	// turns away and fails although it is well.
	fullShare = 0.02
	failShare = 0.01
)

// endpoint is a back end behind a proxy.
type endpoint struct {
	soak    *Soaker
	index   int
	service string
	proxy   *proxier.Proxier
	busy    sync.Mutex // held by a fault that ends the endpoint

	mu       sync.Mutex
	life     int // counts its processes
	id       string
	draining bool
	drained  clock.Millis // instant at which the store had taken that it leaves
	sequence int64
	born     int64
	server   *http.Server
}

func newEndpoint(s *Soaker, i int, service string) (*endpoint, error) {
	proxy, err := proxier.New(s.address(endpointHost, proxyPort+i), s.address(endpointHost, endpointPort+i))
	if err != nil {
		return nil, err
	}
	e := &endpoint{soak: s, index: i, service: service, proxy: proxy}
	return e, e.start(false)
}

// start starts the endpoint's next process, under its former id or a new one.
func (e *endpoint) start(sameID bool) error {
	l, err := proxier.Listen(e.soak.address(endpointHost, endpointPort+e.index))
	if err != nil {
		return err
	}
	server := serve(l, e)
	e.mu.Lock()
	e.life++
	if !sameID || e.id == "" {
		e.id = fmt.Sprintf("i-%d-%d", e.index, e.life)
	}
	e.draining, e.drained, e.sequence, e.server = false, 0, 0, server
	e.born = time.Now().UnixMilli()
	e.mu.Unlock()
	return e.publish()
}

func (e *endpoint) publish() error {
	e.mu.Lock()
	e.sequence++
	entry := cataloger.Endpoint{
		ID: e.id, Service: e.service, Address: e.proxy.Address(), DataCentre: dataCentre(e.index), Version: "v1",
		Slots: slots, Draining: e.draining, Sequence: e.sequence, Born: e.born,
	}
	e.mu.Unlock()
	text, err := platform.EncodeEndpoint(entry)
	if err != nil {
		return err
	}
	return e.soak.store.Put(platform.EndpointKind, entry.ID, text)
}

// crash ends the process without notice.
func (e *endpoint) crash() {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	_ = server.Close() // what it returns is the listener's end
	e.proxy.Reset()
}

// remove takes the entry out of the store, as the platform does when an
// endpoint has left or is silent.
func (e *endpoint) remove() {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	e.soak.store.Delete(platform.EndpointKind, id)
}

// drain reports that the endpoint leaves.
func (e *endpoint) drain() error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	if err := e.publish(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drained = e.soak.clock.Now()
	return nil
}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close() // the run is over
	e.proxy.Close()
}

// ServeHTTP answers one request as an endpoint of the platform does.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := platform.Names()
	e.mu.Lock()
	id, drained := e.id, e.drained
	e.mu.Unlock()
	request := r.Header.Get(n.ID)
	w.Header().Set(n.ID, request)
	switch {
	case r.Header.Get(n.Target) != id:
		w.Header().Set(n.NotRun, "wrong target")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case rand.Float64() < fullShare:
		w.Header().Set(n.NotRun, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request broke off; it does not run
	}
	e.soak.checker.ran(run{
		id: request, endpoint: id, at: e.soak.clock.Now(), method: r.Method, target: r.RequestURI, body: string(body),
		workspace: r.Header.Get(n.Workspace), key: r.Header.Get(n.Key), drained: drained,
	})
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		e.stream(w, r, request)
		return
	}
	time.Sleep((5 + clock.Millis(rand.IntN(50))).Duration())
	w.Header().Set(n.Signature, "signed "+request)
	if rand.Float64() < failShare {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, plainAnswer(request)) // the router may have left
}

func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, request string) {
	n := platform.Names()
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

// plainAnswer is the whole answer to a plain request.
func plainAnswer(request string) string {
	return request + strings.Repeat(" answer", int(matcher.Hash("size", request)%200))
}

// streamLength is the number of events of a request's stream.
func streamLength(request string) int { return 2 + int(matcher.Hash("length", request)%40) }

func event(request string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, request, i)
}

// serve serves a handler until it is closed.
func serve(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // it returns when the server is closed
	return server
}
