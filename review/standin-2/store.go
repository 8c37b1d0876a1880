package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It answers lists, watches and
// writes as PROTOCOL.md describes them, and loses nothing.
type store struct {
	address string

	mu       sync.Mutex
	era      int64 // rises by one when the store comes back from a copy
	down     bool  // every call is answered with 503
	revision int64
	objects  map[string]map[string]*object // by kind and name
	events   []event
	changed  chan struct{} // closed with each change
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision,omitempty"`
	Created  int64  `json:"created,omitempty"`
}

type event struct {
	kind    string
	object  object
	deleted bool
}

func newStore(host string) (*store, error) {
	s := &store{era: 1, revision: 10, objects: make(map[string]map[string]*object), changed: make(chan struct{})}
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an object's spec.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := object{Metadata: metadata{Name: name}, Spec: text}
	if old := s.objects[kind][name]; old != nil {
		o.Status, o.Metadata.Created = old.Status, old.Metadata.Created
	}
	s.set(kind, o)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		delete(s.objects[kind], name)
		s.notify(kind, *o, true)
	}
}

// set stores an object under a new revision. The lock must be held.
func (s *store) set(kind string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	s.objects[kind][o.Metadata.Name] = &o
	s.notify(kind, o, false)
	return *s.objects[kind][o.Metadata.Name]
}

// notify records a change. The lock must be held.
func (s *store) notify(kind string, o object, deleted bool) {
	s.revision++
	o.Metadata.Revision = s.revision
	if !deleted {
		s.objects[kind][o.Metadata.Name] = &o
	}
	s.events = append(s.events, event{kind: kind, object: o, deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	era, down := s.era, s.down
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	if down {
		answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0])
	default:
		s.write(w, r, parts)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, *o)
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.object.Metadata.Revision > from {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		at, changed, lost := s.revision, s.changed, s.down || from > s.revision
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		if lost {
			answer(w, http.StatusGone, nil)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, parts []string) {
	var body object
	if r.Method != http.MethodGet {
		_ = json.NewDecoder(r.Body).Decode(&body)
	}
	name := body.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[parts[0]][name]
	switch {
	case old == nil && r.Method != http.MethodPost:
		answer(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet:
		answer(w, http.StatusOK, old)
	case old != nil && (r.Method == http.MethodPost || body.Metadata.Revision != 0 && body.Metadata.Revision != old.Metadata.Revision):
		answer(w, http.StatusConflict, old)
	case old == nil:
		answer(w, http.StatusCreated, s.set(parts[0], object{Metadata: metadata{Name: name}, Spec: body.Spec}))
	case len(parts) == 3:
		answer(w, http.StatusOK, s.set(parts[0], object{Metadata: old.Metadata, Spec: old.Spec, Status: body.Status}))
	case bytes.Equal(body.Spec, old.Spec): // changes nothing
		answer(w, http.StatusOK, old)
	default:
		answer(w, http.StatusOK, s.set(parts[0], object{Metadata: old.Metadata, Spec: body.Spec, Status: old.Status}))
	}
}

// copyOf is a copy of the store.
type copyOf struct {
	revision int64
	objects  map[string]map[string]*object
	events   int
}

// copy returns a copy of the store.
func (s *store) copy() copyOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyOf{revision: s.revision, objects: make(map[string]map[string]*object), events: len(s.events)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// setDown takes the store away. Calls that wait end.
func (s *store) setDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings the store back from a copy, with the next era.
func (s *store) restore(c copyOf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.revision, s.objects, s.events = false, c.revision, c.objects, s.events[:c.events]
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}
