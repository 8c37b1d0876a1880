package demonstrator

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"rosemaryarch.example/rosemaryarch/parser"
)

// session is one conversation. It sends one request at a time.
type session struct {
	mu                            sync.Mutex
	busy                          bool
	left                          int  // requests until the session ends
	single                        bool // its requests name no session
	id, workspace, service, topic string
	token                         string
}

func (s *session) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
}

// take reserves the session for a request.
func (s *session) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.left == 0 {
		return false
	}
	s.busy = true
	s.left--
	return true
}

// sessions chooses the session of the next request.
type sessions struct {
	fleet  *parser.Fleet
	random *rand.Rand
	open   map[string][]*session // by workspace
	total  float64               // of the workspaces' shares
	count  int
}

const (
	sessionLength  = 5 // mean number of requests
	sessionPrompts = 320
)

func newSessions(f *parser.Fleet, random *rand.Rand) *sessions {
	s := &sessions{fleet: f, random: random, open: map[string][]*session{}}
	for _, w := range f.Workspaces {
		s.total += w.Weight
	}
	return s
}

// next returns a session that is free, of a workspace drawn by its share.
func (s *sessions) next() (*session, bool) {
	w := s.workspace()
	list := s.open[w.Name]
	for k := range list {
		if list[k].take() {
			return list[k], true
		}
		if list[k].ended() {
			list[k] = s.newSession(w)
			return list[k], list[k].take()
		}
	}
	n := s.newSession(w)
	s.open[w.Name] = append(list, n)
	return n, n.take()
}

func (s *session) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left == 0 && !s.busy
}

func (s *sessions) workspace() parser.Workspace {
	x := s.random.Float64() * s.total
	for _, w := range s.fleet.Workspaces {
		if x -= w.Weight; x < 0 {
			return w
		}
	}
	return s.fleet.Workspaces[0]
}

func (s *sessions) newSession(w parser.Workspace) *session {
	var services []string
	for _, name := range w.Services {
		if x, ok := s.fleet.Service(name); ok && x.Kind == parser.KindModel {
			services = append(services, name)
		}
	}
	s.count++
	n := &session{
		id: fmt.Sprintf("s%d", s.count), workspace: w.Name, service: services[s.random.IntN(len(services))],
		left: 1 + s.random.IntN(2*sessionLength-1), single: s.count%2 == 0,
	}
	for len(n.topic) < sessionPrompts {
		n.topic += fmt.Sprintf("Window %d of house %d is fogged. ", len(n.topic), s.count)
	}
	return n
}
