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

// callRecord holds the runs of the calls to one service with one key.
type callRecord struct {
	runs     int      // finished runs
	running  int      // runs in progress
	response response // of the first run
}

// response is the body of the response to a call.
type response struct {
	ID   int             `json:"id"` // number of the run, unique in the emulator
	Key  string          `json:"key"`
	Call json.RawMessage `json:"call"`
}

// delivery is the arrival of a call at an endpoint.
type delivery struct {
	endpoint string
	at       clock.Millis
}

// RunCount returns the number of runs of calls with key to the service name, such as
// "bookings".
func (e *Emulator) RunCount(name, key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.records[name+"/"+key]; r != nil {
		return r.runs
	}
	return 0
}

// Totals returns the number of keys that have run and the total number of runs.
func (e *Emulator) Totals() (keys, runs int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.records {
		if r.runs > 0 {
			keys++
		}
		runs += r.runs
	}
	return keys, runs
}

// DeliveryCount returns the number of calls that arrived at a plain endpoint after the
// given instant, including refused ones.
func (e *Emulator) DeliveryCount(endpointID string, after clock.Millis) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, c := range e.deliveries {
		if c.endpoint == endpointID && c.at > after {
			n++
		}
	}
	return n
}

// serveService serves calls and look-ups at one endpoint of the plain service.
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
		writeJSON(w, http.StatusUnprocessableEntity, map[string]string{"error": "needs JSON and an Idempotency-Key"})
		return
	}
	f := e.recordDelivery(endpoint)
	if f.RefuseCalls {
		refuse(w, http.StatusServiceUnavailable, "busy", clock.Second)
		return
	}
	if f.CutBeforeEffect > 0 {
		cut()
	}
	rec := e.startRun(name, key)
	if rec == nil {
		e.replay(w, name, key)
		return
	}
	// The effect happens even if the client has disconnected, as in a service that
	// does not detect this in time.
	if f.ServiceDelay > 0 {
		_ = e.o.Sleep(context.WithoutCancel(r.Context()), f.ServiceDelay)
	}
	response := e.finishRun(rec, key, body)
	if f.AnswerDelay > 0 {
		_ = e.o.Sleep(r.Context(), f.AnswerDelay)
	}
	if f.LoseResponses > 0 {
		cut()
	}
	writeJSON(w, http.StatusCreated, response)
}

// recordDelivery records the arrival of a call and returns its faults. It counts
// the call towards CutBeforeEffect or LoseResponses.
func (e *Emulator) recordDelivery(endpoint string) Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliveries = append(e.deliveries, delivery{endpoint, e.o.Now()})
	f := e.faults
	switch {
	case f.RefuseCalls:
	case f.CutBeforeEffect > 0:
		e.faults.CutBeforeEffect--
	case f.LoseResponses > 0:
		e.faults.LoseResponses--
	}
	return f
}

// startRun marks the start of a run. It returns nil if the service deduplicates
// calls and knows the key.
func (e *Emulator) startRun(name, key string) *callRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := e.records[name+"/"+key]
	if rec == nil {
		rec = &callRecord{}
		e.records[name+"/"+key] = rec
	} else if e.o.Deduplicate {
		return nil
	}
	rec.running++
	return rec
}

// finishRun records the effect of a call and returns the response.
func (e *Emulator) finishRun(rec *callRecord, key string, body []byte) response {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec.running--
	rec.runs++
	e.lastID++
	if rec.runs == 1 {
		rec.response = response{ID: e.lastID, Key: key, Call: body}
	}
	return response{ID: e.lastID, Key: key, Call: body}
}

func (e *Emulator) serveLookUp(w http.ResponseWriter, name, key string) {
	if e.o.NoLookUp {
		writeJSON(w, http.StatusNotImplemented, map[string]string{"error": "no look-up"})
		return
	}
	e.replay(w, name, key)
}

// replay responds with the state of the record of name and key, or with the
// response of the first run.
func (e *Emulator) replay(w http.ResponseWriter, name, key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := e.records[name+"/"+key]
	switch {
	case rec == nil:
		writeJSON(w, http.StatusNotFound, map[string]string{"error": fmt.Sprintf("no call with key %q", key)})
	case rec.runs == 0:
		writeJSON(w, http.StatusAccepted, map[string]string{"state": "running"})
	default:
		writeJSON(w, http.StatusOK, rec.response)
	}
}
