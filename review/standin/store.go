package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	log      []change
	changed  chan struct{}
	silent   string               // address of the store at which answers that fall due are lost
	watches  map[string]time.Time // start of the latest watch, by kind and the store's address
	lost     int                  // answers that were lost
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

const pageSize = 500

func newStore() *store {
	return &store{
		revision: 10, objects: map[string]map[string]object{}, changed: make(chan struct{}),
		watches: map[string]time.Time{},
	}
}

// put writes an object as the operator or a worker does. It returns when the store
// has accepted it, which is the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(b) {
		return time.Now()
	}
	o.Spec = b
	s.write(kind, name, o)
	return time.Now()
}

// write stores an object at the next revision. The lock is held.
func (s *store) write(kind, name string, o object) object {
	s.revision++
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.log = append(s.log, change{kind: kind, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.log = append(s.log, change{kind: kind, Deleted: true, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.objects[kind][name].Status)
}

// setSilent makes the store lose its answers to the machine that has the given address of
// the store; "" ends that.
func (s *store) setSilent(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = address
}

// addressOf returns the address of the store at which a call has arrived. Each machine has
// one of its own.
func addressOf(r *http.Request) string {
	return r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
}

// watchStart returns the start of the latest watch of a kind at an address of the store.
func (s *store) watchStart(kind, address string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[kind+" "+address]
}

// answer sends an answer 4 ms later, unless answers are being lost: the connection
// then returns nothing further.
func (s *store) answer(w http.ResponseWriter, r *http.Request, status int, body any) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	silent := s.silent == addressOf(r)
	if silent {
		s.lost++
	}
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && q.Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[parts[0]][parts[1]]
		s.mu.Unlock()
		if !ok {
			s.answer(w, r, http.StatusNotFound, map[string]string{"error": "no such object"})
			return
		}
		s.answer(w, r, http.StatusOK, o)
	default:
		var body object
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil && r.Method != http.MethodDelete {
			s.answer(w, r, http.StatusBadRequest, map[string]string{"error": err.Error()})
			return
		}
		status, o := s.apply(r.Method, parts, body)
		s.answer(w, r, status, o)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	s.answer(w, r, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	s.mu.Lock()
	s.watches[kind+" "+addressOf(r)] = time.Now()
	s.mu.Unlock()
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.log {
			if c.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			s.answer(w, r, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-timer.C:
			ended = true
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) apply(method string, parts []string, body object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := parts[0], body.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	old, exists := s.objects[kind][name]
	conflict := body.Metadata.Revision != 0 && body.Metadata.Revision != old.Metadata.Revision
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old
	case method == http.MethodPost:
		return http.StatusOK, s.write(kind, name, object{Spec: body.Spec})
	case !exists:
		return http.StatusNotFound, object{}
	case conflict:
		return http.StatusConflict, old
	case method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		old.Metadata.Revision = s.revision
		s.log = append(s.log, change{kind: kind, Deleted: true, Object: old})
		close(s.changed)
		s.changed = make(chan struct{})
		return http.StatusOK, old
	case len(parts) == 3 && parts[2] == "status":
		if string(old.Status) == string(body.Status) {
			return http.StatusOK, old
		}
		old.Status = body.Status
	default:
		if string(old.Spec) == string(body.Spec) {
			return http.StatusOK, old
		}
		old.Spec = body.Spec
	}
	return http.StatusOK, s.write(kind, name, old)
}
