package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// worker is a stand-in of one worker of a service.
type worker struct {
	id, service, address, zone, version string
	failShare                           float64       // of the requests that it runs
	work                                time.Duration // mean duration of a run
	record                              *record
	running                             atomic.Int64
	server                              *http.Server
	born                                int64
}

const slots = 32

func (w *worker) start() error {
	l, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.born = time.Now().UnixMilli()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return nil
}

// entry is what the worker writes to the store.
func (w *worker) entry(phase string) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "maxBatch": slots,
		"phase": phase, "warmupLeftMs": 0, "stage": "combined", "models": []any{}, "sequence": 1, "born": w.born,
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	id := r.Header.Get("Rosemaryarch-Attempt-Id")
	h.Set("Rosemaryarch-Attempt-Id", id)
	if r.URL.Path == "/healthz" {
		h.Set("Rosemaryarch-Instance-Id", w.id)
		return
	}
	if target := r.Header.Get("Rosemaryarch-Target-Instance"); target != "" && target != w.id {
		h.Set("Rosemaryarch-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.running.Add(1) > slots {
		w.running.Add(-1)
		h.Set("Rosemaryarch-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	bad := rand.Float64() < w.failShare
	w.record.run(run{at: time.Now(), id: id, worker: w.id, version: w.version, zone: w.zone, from: caller, bad: bad})
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(w.work)))
	h.Set("Rosemaryarch-Response-Signature", fmt.Sprintf("%s.%s", w.id, id))
	h.Set("Content-Type", "text/plain")
	if bad {
		rw.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(rw, "answer of %s to %s", w.version, id)
}
