package engineemulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/exchanger"
	"rosemaryarch.example/rosemaryarch/streamer"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 4 << 20

// attemptBody is the body of resume and cancel requests; cancel ignores
// FromIndex.
type attemptBody struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	FromIndex int    `json:"from_index"`
}

// commandBody is the body of a command. Version is the role for the action
// set_role.
type commandBody struct {
	FencingNumber uint64 `json:"fencing_number"`
	Action        string `json:"action"`
	Version       string `json:"version"`
}

// ServeHTTP serves the API that the package comment lists.
func (e *Emulator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.Faults().Down {
		panic(http.ErrAbortHandler)
	}
	const cachePath = "/v1/cache/"
	switch path := r.Method + " " + r.URL.Path; {
	case path == "POST /v1/generate":
		e.serveGenerate(w, r)
	case path == "POST /v1/resume":
		e.serveResume(w, r)
	case path == "POST /v1/cancel":
		e.serveCancel(w, r)
	case path == "GET /v1/load":
		e.mu.Lock()
		l := e.visibleReport(e.o.Now())
		e.mu.Unlock()
		writeJSON(w, l)
	case path == "GET /v1/cache_events":
		e.serveEvents(w, r)
	case path == "POST /v1/commands":
		e.serveCommand(w, r)
	case strings.HasPrefix(r.URL.Path, cachePath) && r.Method == http.MethodGet:
		e.serveExport(w, strings.TrimPrefix(r.URL.Path, cachePath))
	case strings.HasPrefix(r.URL.Path, cachePath) && r.Method == http.MethodPut:
		e.serveImport(w, r, strings.TrimPrefix(r.URL.Path, cachePath))
	default:
		http.NotFound(w, r)
	}
}

// decodeBody decodes the body into target, or responds with a refusal and returns
// false. It reads the body to its end, because net/http detects a closed client
// connection only after that.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, target)
	}
	if err != nil {
		writeError(w, refusal(http.StatusBadRequest, "invalid_body"))
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// writeError responds with err if it is a refusal, and cuts the connection
// otherwise.
func writeError(w http.ResponseWriter, err error) {
	var s *exchanger.StatusError
	if !errors.As(err, &s) {
		panic(http.ErrAbortHandler)
	}
	exchanger.WriteRefusal(w, *s)
}

func (e *Emulator) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var q streamer.Request
	if !decodeBody(w, r, &q) {
		return
	}
	prior, ok := priorTokens(q.Version, q.Prompt, q.PriorText)
	if !ok || q.MaxTokens < 0 || q.RequestID == "" || q.AttemptID == "" {
		writeError(w, refusal(http.StatusBadRequest, "invalid_body"))
		return
	}
	e.run(w, r, q, e.plan(q, prior), newAttempt)
}

func (e *Emulator) serveResume(w http.ResponseWriter, r *http.Request) {
	var b attemptBody
	if !decodeBody(w, r, &b) {
		return
	}
	e.mu.Lock()
	q, ok := e.attempts[b.AttemptID]
	ok = ok && q.RequestID == b.RequestID && !e.o.NoResume
	e.mu.Unlock()
	prior, _ := priorTokens(q.Version, q.Prompt, q.PriorText)
	p := e.plan(q, prior)
	if !ok || b.FromIndex < 0 || b.FromIndex > p.tokens {
		writeError(w, refusal(http.StatusNotFound, engineclient.ReasonNoAttempt))
		return
	}
	e.cutAttempt(b.AttemptID)
	e.run(w, r, q, p, b.FromIndex)
}

// newAttempt is the start index that tells a new attempt from a resume at index 0.
const newAttempt = -1

// run admits the attempt and streams its events from index from on.
func (e *Emulator) run(w http.ResponseWriter, r *http.Request, q streamer.Request, p plan, from int) {
	a, err := e.admit(r.Context(), q, from != newAttempt)
	if err != nil {
		writeError(w, err)
		return
	}
	if err := e.stream(w, a, p, max(0, from)); err != nil {
		writeError(w, err)
	}
}

func (e *Emulator) serveCancel(w http.ResponseWriter, r *http.Request) {
	var b attemptBody
	if !decodeBody(w, r, &b) {
		return
	}
	e.cutAttempt(b.AttemptID)
	writeJSON(w, struct{}{})
}

// cutAttempt cuts the stream of the attempt, whether it is running or queued.
func (e *Emulator) cutAttempt(attemptID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for a := range e.running {
		if a.request.AttemptID == attemptID {
			a.cancel()
		}
	}
	for _, a := range e.queue {
		if a.request.AttemptID == attemptID {
			a.cancel()
		}
	}
}

func (e *Emulator) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeError(w, refusal(http.StatusBadRequest, "invalid_body"))
		return
	}
	e.mu.Lock()
	events := e.cache.since(from, e.o.Now(), e.o.CacheEventDelay, e.faults.DropEvents)
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Emulator) serveCommand(w http.ResponseWriter, r *http.Request) {
	var b commandBody
	if !decodeBody(w, r, &b) {
		return
	}
	if e.o.CommandKey != "" && r.Header.Get("X-Command-Key") != e.o.CommandKey {
		writeError(w, refusal(http.StatusForbidden, engineclient.ReasonForbidden))
		return
	}
	if err := e.fetch(r.Context(), b); err != nil {
		writeError(w, err)
		return
	}
	if err := e.execute(b); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

// fetch fetches the weights for a load command whose version is not loaded yet.
func (e *Emulator) fetch(ctx context.Context, b commandBody) error {
	e.mu.Lock()
	err := e.checkFencing(b)
	_, known := e.versions[b.Version]
	e.mu.Unlock()
	if err != nil || known || b.Action != engineclient.ActionLoad || e.o.Fetch == nil {
		return err
	}
	if e.o.Fetch(ctx, b.Version) != nil {
		return refusal(http.StatusServiceUnavailable, engineclient.ReasonNoWeights)
	}
	return nil
}

// checkFencing refuses a command whose fencing number is below that of an earlier
// one. The mutex must be held.
func (e *Emulator) checkFencing(b commandBody) error {
	if b.FencingNumber < e.fencingNumber && !e.o.IgnoreFencing {
		return refusal(http.StatusConflict, engineclient.ReasonFenced)
	}
	return nil
}

// execute checks the fencing number again, since another command may have run
// during fetch, and runs the command.
func (e *Emulator) execute(b commandBody) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFencing(b); err != nil {
		return err
	}
	if b.FencingNumber < e.fencingNumber {
		e.staleCommands++
	}
	switch b.Action {
	case engineclient.ActionLoad:
		if _, known := e.versions[b.Version]; !known {
			e.versions[b.Version] = e.o.Now() + e.o.LoadTime
		}
	case engineclient.ActionUnload:
		delete(e.versions, b.Version)
	case engineclient.ActionSetRole:
		e.role = b.Version
	default:
		return refusal(http.StatusBadRequest, "invalid_body")
	}
	e.fencingNumber = max(e.fencingNumber, b.FencingNumber)
	e.recordLoad()
	return nil
}

// cacheState is the exported state of a cached prefix, opaque to clients.
type cacheState struct {
	Prompt string `json:"prompt"`
}

func (e *Emulator) serveExport(w http.ResponseWriter, key string) {
	e.mu.Lock()
	prompt, ok := e.cache.find(key)
	e.mu.Unlock()
	if !ok {
		writeError(w, refusal(http.StatusNotFound, "no_prefix"))
		return
	}
	writeJSON(w, cacheState{prompt})
}

func (e *Emulator) serveImport(w http.ResponseWriter, r *http.Request, key string) {
	var s cacheState
	if !decodeBody(w, r, &s) {
		return
	}
	if engineclient.PrefixKey(s.Prompt) != key {
		writeError(w, refusal(http.StatusBadRequest, "invalid_body"))
		return
	}
	e.mu.Lock()
	e.cache.access(s.Prompt, e.o.Now())
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
