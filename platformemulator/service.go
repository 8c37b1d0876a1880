package platformemulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"rosemaryarch.example/rosemaryarch/clock"
)

// record is what the ledger holds under one name and key.
type record struct {
	runs    int
	running int
	reply   reply
}

// reply is the body of a call's answer.
type reply struct {
	ID   int             `json:"id"` // of the first run
	Key  string          `json:"key"`
	Call json.RawMessage `json:"call"`
}

// call is one delivery to an endpoint.
type call struct {
	endpoint string
	at       clock.Millis
}

// Runs returns how often calls to the service name (such as "bookings") with
// key have run.
func (e *Emulator) Runs(name, key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.ledger[name+"/"+key]; r != nil {
		return r.runs
	}
	return 0
}

// Totals returns the number of keys that have run, and of runs in all.
func (e *Emulator) Totals() (keys, runs int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.ledger {
		if r.runs > 0 {
			keys++
		}
		runs += r.runs
	}
	return keys, runs
}

// Calls returns the calls that arrived at a plain endpoint after the given
// instant, refused ones included.
func (e *Emulator) Calls(endpointID string, after clock.Millis) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, c := range e.calls {
		if c.endpoint == endpointID && c.at > after {
			n++
		}
	}
	return n
}

func (e *Emulator) serveService(w http.ResponseWriter, r *http.Request, endpoint string) {
	if slices.Contains(e.Faults().ServiceDown, endpoint) {
		cut()
	}
	name, key, hasKey := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case r.Method == http.MethodPost && name != "" && !hasKey:
		e.serveCall(w, r, name, endpoint)
	case r.Method == http.MethodGet && name != "" && hasKey:
		e.serveLookUp(w, name, key)
	default:
		http.NotFound(w, r)
	}
}

func (e *Emulator) serveCall(w http.ResponseWriter, r *http.Request, name, endpoint string) {
	key := r.Header.Get("Idempotency-Key")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || !json.Valid(body) || key == "" {
		answer(w, http.StatusUnprocessableEntity, map[string]string{"error": "needs JSON and an Idempotency-Key"})
		return
	}
	f := e.arrive(endpoint)
	if f.RefuseCalls {
		refuse(w, http.StatusServiceUnavailable, "busy", clock.Second)
		return
	}
	if f.CutBefore > 0 {
		cut()
	}
	rec := e.begin(name, key)
	if rec == nil {
		e.replay(w, name, key)
		return
	}
	// The effect happens even if the caller has left: a service does not notice
	// that in time.
	if f.ServiceDelay > 0 {
		_ = e.o.Sleep(context.WithoutCancel(r.Context()), f.ServiceDelay)
	}
	reply := e.finish(rec, key, body)
	if f.AnswerDelay > 0 {
		_ = e.o.Sleep(r.Context(), f.AnswerDelay)
	}
	if f.LoseAnswers > 0 {
		cut()
	}
	answer(w, http.StatusCreated, reply)
}

// arrive counts a call and returns its faults, of which those with a number are
// used up by one.
func (e *Emulator) arrive(endpoint string) Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, call{endpoint, e.o.Now()})
	f := e.faults
	switch {
	case f.RefuseCalls:
	case f.CutBefore > 0:
		e.faults.CutBefore--
	case f.LoseAnswers > 0:
		e.faults.LoseAnswers--
	}
	return f
}

// begin marks a run, or returns nil if the service dedupes and knows the key.
func (e *Emulator) begin(name, key string) *record {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := e.ledger[name+"/"+key]
	if rec == nil {
		rec = &record{}
		e.ledger[name+"/"+key] = rec
	} else if e.o.Dedupe {
		return nil
	}
	rec.running++
	return rec
}

// finish is the effect of a call.
func (e *Emulator) finish(rec *record, key string, body []byte) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec.running--
	rec.runs++
	e.lastID++
	if rec.runs == 1 {
		rec.reply = reply{ID: e.lastID, Key: key, Call: body}
	}
	return reply{ID: e.lastID, Key: key, Call: body}
}

func (e *Emulator) serveLookUp(w http.ResponseWriter, name, key string) {
	if e.o.NoLookUp {
		answer(w, http.StatusNotImplemented, map[string]string{"error": "no look-up"})
		return
	}
	e.replay(w, name, key)
}

// replay answers with what the ledger holds under name and key.
func (e *Emulator) replay(w http.ResponseWriter, name, key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := e.ledger[name+"/"+key]
	switch {
	case rec == nil:
		answer(w, http.StatusNotFound, map[string]string{"error": fmt.Sprintf("no call with key %q", key)})
	case rec.runs == 0:
		answer(w, http.StatusAccepted, map[string]string{"state": "running"})
	default:
		answer(w, http.StatusOK, rec.reply)
	}
}
