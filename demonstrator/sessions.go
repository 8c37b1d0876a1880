package demonstrator

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"rosemaryarch.example/rosemaryarch/parser"
)

// session is a conversation, which has at most one request in flight.
type session struct {
	mu                            sync.Mutex
	busy                          bool
	remaining                     int  // number of requests until the session ends
	withoutID                     bool // its requests are sent without a session id
	id, workspace, service, topic string
	token                         string
}

// release ends the reservation.
func (s *session) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
}

// reserve reserves the session for a request, and reports whether it could: the
// session must have no request in flight and must not have ended.
func (s *session) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.remaining == 0 {
		return false
	}
	s.busy = true
	s.remaining--
	return true
}

// sessions holds the sessions of all workspaces and chooses one for each request.
type sessions struct {
	fleet       *parser.Fleet
	random      *rand.Rand
	byWorkspace map[string][]*session // running sessions, and ended ones until they are replaced
	totalShare  float64               // sum of the workspaces' shares
	created     int
}

const (
	sessionMeanRequests = 5   // mean number of requests in a session
	sessionTopicBytes   = 320 // least length of the text that starts each prompt
)

func newSessions(f *parser.Fleet, random *rand.Rand) *sessions {
	s := &sessions{fleet: f, random: random, byWorkspace: map[string][]*session{}}
	for _, w := range f.Workspaces {
		s.totalShare += w.Weight
	}
	return s
}

// next returns a reserved session of a workspace that is drawn by its share. It
// starts a new session if all are busy.
func (s *sessions) next() (*session, bool) {
	w := s.drawWorkspace()
	list := s.byWorkspace[w.Name]
	for k := range list {
		if list[k].reserve() {
			return list[k], true
		}
		if list[k].ended() {
			list[k] = s.newSession(w)
			return list[k], list[k].reserve()
		}
	}
	n := s.newSession(w)
	s.byWorkspace[w.Name] = append(list, n)
	return n, n.reserve()
}

// ended reports whether the session has sent its last request and received the answer.
func (s *session) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remaining == 0 && !s.busy
}

// drawWorkspace returns a random workspace, with a probability in proportion to its
// share.
func (s *sessions) drawWorkspace() parser.Workspace {
	x := s.random.Float64() * s.totalShare
	for _, w := range s.fleet.Workspaces {
		if x -= w.Weight; x < 0 {
			return w
		}
	}
	return s.fleet.Workspaces[0]
}

// newSession returns a new session of the workspace at one of its model services.
func (s *sessions) newSession(w parser.Workspace) *session {
	var services []string
	for _, name := range w.Services {
		if x, ok := s.fleet.Service(name); ok && x.Kind == parser.KindModel {
			services = append(services, name)
		}
	}
	s.created++
	n := &session{
		id: fmt.Sprintf("s%d", s.created), workspace: w.Name, service: services[s.random.IntN(len(services))],
		remaining: 1 + s.random.IntN(2*sessionMeanRequests-1), withoutID: s.created%2 == 0,
	}
	for len(n.topic) < sessionTopicBytes {
		n.topic += fmt.Sprintf("Window %d of house %d is fogged. ", len(n.topic), s.created)
	}
	return n
}
