package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in of a server of one service. It reads a request whole, answers with
// a stream or a plain body, and stops when the connection closes.
type worker struct {
	id, service, zone string
	address           string
	events            int           // of a stream; 0: a plain answer
	gap               time.Duration // between two events
	firstAfter        time.Duration // time until the first event
	record            func(format string, args ...any)
	handle            http.HandlerFunc // replaces the answer, if set
	bodyOf            func(r *http.Request) []byte

	mu      sync.Mutex
	arrived map[string]int // by attempt id
	bodies  map[string]int // length of the body, by attempt id
	born    int64
	seq     int64
}

func newWorker(id, service, zone, host string, record func(string, ...any)) (*worker, error) {
	w := &worker{
		id: id, service: service, zone: zone, record: record, arrived: make(map[string]int), bodies: make(map[string]int),
		born: time.Now().UnixMilli(),
	}
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	s := &http.Server{Handler: w}
	go func() { _ = s.Serve(l) }()
	return w, nil
}

// entry is the worker's entry in the store.
func (w *worker) entry(phase string) map[string]any {
	w.seq++
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "maxBatch": 64, "phase": phase,
		"warmupLeftMs": 0, "sequence": w.seq, "born": w.born,
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		rw.Header().Set("Rosemaryarch-Instance-Id", w.id)
		return
	}
	if t := r.Header.Get("Rosemaryarch-Target-Instance"); t != "" && t != w.id {
		rw.Header().Set("Rosemaryarch-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Rosemaryarch-Attempt-Id")
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		w.record("worker %s: request %s broke off in its body", w.id, id)
		return
	}
	w.mu.Lock()
	w.arrived[id]++
	w.bodies[id] = int(n)
	w.mu.Unlock()
	w.record("worker %s: runs request %s with %d bytes", w.id, id, n)
	h := rw.Header()
	h.Set("Rosemaryarch-Attempt-Id", id)
	h.Set("Rosemaryarch-Response-Signature", w.id+"."+id)
	if w.handle != nil {
		w.handle(rw, r)
		return
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	h.Set("Content-Type", "text/event-stream")
	select {
	case <-time.After(w.firstAfter):
	case <-r.Context().Done():
		w.record("worker %s: request %s was dropped before its first event", w.id, id)
		return
	}
	rw.WriteHeader(http.StatusOK)
	for i := first; i <= w.events; i++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token %d of %s\n\n", i, i, id); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-time.After(w.gap):
		case <-r.Context().Done():
			w.record("worker %s: request %s was dropped after event %d", w.id, id, i)
			return
		}
	}
	w.record("worker %s: request %s ended", w.id, id)
}

// runs returns how often a request with this id has run here.
func (w *worker) runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrived[id]
}
