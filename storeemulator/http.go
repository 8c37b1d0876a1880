package storeemulator

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/storeclient"
)

// ServeHTTP serves the object API: GET, HEAD, PUT and DELETE of /objects/{key} with
// the expected version in If-Match, GET /objects?prefix= and GET /watch. The
// connection is closed without a response if the answer of a write is lost.
func (e *Emulator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/watch":
		e.serveWatch(w, r)
	case r.URL.Path == "/objects":
		objects, err := e.list(r.Context(), r.URL.Query().Get("prefix"))
		writeResult(w, objects, err)
	case strings.HasPrefix(r.URL.EscapedPath(), "/objects/"):
		e.serveObject(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Emulator) serveObject(w http.ResponseWriter, r *http.Request) {
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/objects/"))
	if err != nil {
		http.Error(w, "bad key", http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodHead {
		v, err := e.version(r.Context(), key)
		if err == nil {
			w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(v, 10)))
		}
		writeResult(w, nil, err)
		return
	}
	if r.Method == http.MethodGet {
		o, err := e.get(r.Context(), key)
		writeResult(w, o, err)
		return
	}
	expect, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be a version number", http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodDelete {
		writeResult(w, storeclient.Object{Key: key}, e.remove(r.Context(), key, expect))
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storeclient.MaxValueBytes+1))
	if err != nil {
		writeResult(w, nil, storeclient.ErrTooLarge)
		return
	}
	version, err := e.put(r.Context(), key, value, expect)
	writeResult(w, storeclient.Object{Key: key, Version: version}, err)
}

func (e *Emulator) serveWatch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be a sequence number", http.StatusBadRequest)
		return
	}
	objects, next, err := e.watch(r.Context(), r.URL.Query().Get("prefix"), from)
	writeResult(w, map[string]any{"next": next, "objects": objects}, err)
}

// writeResult responds with body, or with the status that storeclient maps back to err.
func writeResult(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	case errors.Is(err, storeclient.ErrUnknown):
		panic(http.ErrAbortHandler) // closes the connection: the answer is lost
	case errors.Is(err, storeclient.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, storeclient.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, storeclient.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
