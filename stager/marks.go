package stager

import (
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Mark tells that a session of the first share has used a version. When a
// roll-out begins, instances tell all others, since the requests of one session
// reach instances in any data centre.
type Mark struct {
	Session uint64       `cbor:"1,keyasint"` // hash of service and session
	Version uint64       `cbor:"2,keyasint"` // hash
	Age     clock.Millis `cbor:"3,keyasint"` // time since the use
}

// markSends is how often a mark is sent, since datagrams get lost.
const markSends = 2

type use struct {
	service string // empty: learnt from another instance
	version uint64
	at      clock.Millis
	sends   int // left
}

// first reports whether a session belongs to the first share of any roll-out.
// The share is the same sessions each time, so that only their uses are kept.
func first(service, session string) bool {
	return matcher.Fraction(service, session) < firstShare
}

func sessionKey(service, session string) uint64 { return matcher.Hash("session/"+service, session) }

func versionKey(version string) uint64 { return matcher.Hash("version", version) }

// Use notes that a session's request goes to a version.
func (s *Stager) Use(now clock.Millis, service, session, version string) {
	if session == "" || !first(service, session) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses[sessionKey(service, session)] = use{service: service, version: versionKey(version), at: now, sends: markSends}
}

// bound reports whether a session used another version than target so lately
// that it must stay there.
func (s *Stager) bound(now clock.Millis, service, session, target string) bool {
	u, ok := s.uses[sessionKey(service, session)]
	return ok && now-u.at < s.options.SessionAge && u.version != versionKey(target)
}

// Marks returns the uses of a former version that all instances have to know,
// and drops old uses. It returns nothing outside the first half of a roll-out.
func (s *Stager) Marks(now clock.Millis) []Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Mark
	for k, u := range s.uses {
		if now-u.at >= s.options.SessionAge {
			delete(s.uses, k)
			continue
		}
		r := s.rollouts[u.service]
		if u.sends == 0 || r == nil || r.finished() || r.share(now) > firstShare || u.version == versionKey(r.order.Target) {
			continue
		}
		u.sends--
		s.uses[k] = u
		list = append(list, Mark{Session: k, Version: u.version, Age: now - u.at})
	}
	return list
}

// MergeMarks takes the marks of another instance.
func (s *Stager) MergeMarks(now clock.Millis, marks []Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range marks {
		at := now - m.Age
		if u, ok := s.uses[m.Session]; !ok || u.at < at {
			s.uses[m.Session] = use{version: m.Version, at: at}
		}
	}
}
