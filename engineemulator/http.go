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

// attemptBody is the body of resume and cancel.
type attemptBody struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	FromIndex int    `json:"from_index"`
}

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
		answer(w, l)
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

// read decodes the body, or answers with a refusal and returns false. It reads
// the body to its end, without which net/http does not see a caller leave.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		fail(w, refusal(http.StatusBadRequest, "invalid_body"))
	}
	return err == nil
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// fail answers with a refusal or cuts the connection.
func fail(w http.ResponseWriter, err error) {
	var s *exchanger.StatusError
	if !errors.As(err, &s) {
		panic(http.ErrAbortHandler)
	}
	exchanger.Refuse(w, *s)
}

func (e *Emulator) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var q streamer.Request
	if !read(w, r, &q) {
		return
	}
	prior, ok := priorTokens(q.Version, q.Prompt, q.PriorText)
	if !ok || q.MaxTokens < 0 || q.RequestID == "" || q.AttemptID == "" {
		fail(w, refusal(http.StatusBadRequest, "invalid_body"))
		return
	}
	e.run(w, r, q, e.plan(q, prior), generated)
}

func (e *Emulator) serveResume(w http.ResponseWriter, r *http.Request) {
	var b attemptBody
	if !read(w, r, &b) {
		return
	}
	e.mu.Lock()
	q, ok := e.attempts[b.AttemptID]
	ok = ok && q.RequestID == b.RequestID && !e.o.NoResume
	e.mu.Unlock()
	prior, _ := priorTokens(q.Version, q.Prompt, q.PriorText)
	p := e.plan(q, prior)
	if !ok || b.FromIndex < 0 || b.FromIndex > p.tokens {
		fail(w, refusal(http.StatusNotFound, engineclient.ReasonNoAttempt))
		return
	}
	e.stop(b.AttemptID)
	e.run(w, r, q, p, b.FromIndex)
}

// generated stands for the start of a new attempt, unlike a resume from 0.
const generated = -1

func (e *Emulator) run(w http.ResponseWriter, r *http.Request, q streamer.Request, p plan, from int) {
	work, err := e.admit(r.Context(), q, from != generated)
	if err != nil {
		fail(w, err)
		return
	}
	if err := e.stream(w, work, p, max(0, from)); err != nil {
		fail(w, err)
	}
}

func (e *Emulator) serveCancel(w http.ResponseWriter, r *http.Request) {
	var b attemptBody
	if !read(w, r, &b) {
		return
	}
	e.stop(b.AttemptID)
	answer(w, struct{}{})
}

// stop cuts the attempt's stream if it has one.
func (e *Emulator) stop(attemptID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for w := range e.running {
		if w.request.AttemptID == attemptID {
			w.cancel()
		}
	}
	for _, w := range e.queue {
		if w.request.AttemptID == attemptID {
			w.cancel()
		}
	}
}

func (e *Emulator) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		fail(w, refusal(http.StatusBadRequest, "invalid_body"))
		return
	}
	e.mu.Lock()
	events := e.cache.since(from, e.o.Now(), e.o.CacheEventLag, e.faults.DropEvents)
	e.mu.Unlock()
	answer(w, events)
}

func (e *Emulator) serveCommand(w http.ResponseWriter, r *http.Request) {
	var b commandBody
	if !read(w, r, &b) {
		return
	}
	if e.o.CommandKey != "" && r.Header.Get("X-Command-Key") != e.o.CommandKey {
		fail(w, refusal(http.StatusForbidden, engineclient.ReasonForbidden))
		return
	}
	if err := e.fetch(r.Context(), b); err != nil {
		fail(w, err)
		return
	}
	if err := e.command(b); err != nil {
		fail(w, err)
		return
	}
	answer(w, struct{}{})
}

// fetch gets the weights that a load command needs.
func (e *Emulator) fetch(ctx context.Context, b commandBody) error {
	e.mu.Lock()
	err := e.fenced(b)
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

// fenced refuses a command with an old number. The mutex is held.
func (e *Emulator) fenced(b commandBody) error {
	if b.FencingNumber < e.fencing && !e.o.IgnoreFencing {
		return refusal(http.StatusConflict, engineclient.ReasonFenced)
	}
	return nil
}

func (e *Emulator) command(b commandBody) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.fenced(b); err != nil {
		return err
	}
	if b.FencingNumber < e.fencing {
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
	e.fencing = max(e.fencing, b.FencingNumber)
	e.report()
	return nil
}

// cacheState is the exported state of a prefix, opaque to callers.
type cacheState struct {
	Prompt string `json:"prompt"`
}

func (e *Emulator) serveExport(w http.ResponseWriter, key string) {
	e.mu.Lock()
	prompt, ok := e.cache.find(key)
	e.mu.Unlock()
	if !ok {
		fail(w, refusal(http.StatusNotFound, "no_prefix"))
		return
	}
	answer(w, cacheState{prompt})
}

func (e *Emulator) serveImport(w http.ResponseWriter, r *http.Request, key string) {
	var s cacheState
	if !read(w, r, &s) {
		return
	}
	if engineclient.PrefixKey(s.Prompt) != key {
		fail(w, refusal(http.StatusBadRequest, "invalid_body"))
		return
	}
	e.mu.Lock()
	e.cache.use(s.Prompt, e.o.Now())
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
