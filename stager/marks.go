package stager

import (
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Mark tells that a session of the first share has used a version. Instances
// tell each other, since the requests of one session reach several of them.
type Mark struct {
	Session uint64 `cbor:"1,keyasint"` // hash of service and session
	Version uint64 `cbor:"2,keyasint"` // hash
}

// markResend is how long a mark is part of messages, so that a lost one does
// no harm.
const markResend = 1300 * clock.Millis(1)

type use struct {
	version uint64
	at      clock.Millis
	own     bool
}

// first reports whether a session belongs to the first share of any roll-out.
// The share is the same sessions each time, so that only their marks are kept.
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
	s.uses[sessionKey(service, session)] = use{version: versionKey(version), at: now, own: true}
}

// bound reports whether a session used another version than target so lately
// that it must stay there.
func (s *Stager) bound(now clock.Millis, service, session, target string) bool {
	u, ok := s.uses[sessionKey(service, session)]
	return ok && now-u.at < s.options.SessionAge && u.version != versionKey(target)
}

// Marks returns what other instances should know, and drops old marks.
func (s *Stager) Marks(now clock.Millis) []Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Mark
	for k, u := range s.uses {
		switch {
		case now-u.at >= s.options.SessionAge:
			delete(s.uses, k)
		case u.own && now-u.at < markResend:
			list = append(list, Mark{Session: k, Version: u.version})
		}
	}
	return list
}

// MergeMarks takes the marks of another instance.
func (s *Stager) MergeMarks(now clock.Millis, marks []Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range marks {
		s.uses[m.Session] = use{version: m.Version, at: now}
	}
}
