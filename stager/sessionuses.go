package stager

import (
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// SessionUse is the last use of a version by a session that belongs to the
// initial share. When a roll-out begins, each instance sends its session uses to
// all others, since the requests of one session may reach instances in any data
// centre.
type SessionUse struct {
	Session uint64       `cbor:"1,keyasint"` // hash of service and session
	Version uint64       `cbor:"2,keyasint"` // hash of the version
	Age     clock.Millis `cbor:"3,keyasint"` // time since the use
}

// sendsPerUse is the number of times that a use is sent, since datagrams may be
// lost.
const sendsPerUse = 2

// lastUse is the last use of a version by a session, as kept by this instance.
type lastUse struct {
	service   string // empty if received from another instance
	version   uint64 // hash
	usedAt    clock.Millis
	sendsLeft int // number of times that it is still to be sent
}

// inInitialShare reports whether a session belongs to the initial share. These
// are the same sessions in each roll-out of a service, so only their uses are
// kept.
func (s *Stager) inInitialShare(service, session string) bool {
	return matcher.Fraction(service, session) < s.options.Exposure.initialShare()
}

func sessionKey(service, session string) uint64 { return matcher.Hash("session/"+service, session) }

func versionKey(version string) uint64 { return matcher.Hash("version", version) }

// RecordUse records that a request of a session is sent to a version.
func (s *Stager) RecordUse(now clock.Millis, service, session, version string) {
	if session == "" || !s.inInitialShare(service, session) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses[sessionKey(service, session)] = lastUse{
		service: service, version: versionKey(version), usedAt: now, sendsLeft: sendsPerUse,
	}
}

// mustKeepVersion reports whether a session used another version than target so
// recently that it must stay there. The lock must be held.
func (s *Stager) mustKeepVersion(now clock.Millis, service, session, target string) bool {
	u, ok := s.uses[sessionKey(service, session)]
	return ok && now-u.usedAt < s.options.SessionAge && u.version != versionKey(target)
}

// SessionUses returns the uses of an old version that are to be sent to all
// instances, and drops expired ones. It returns nothing outside the first half of
// a roll-out.
func (s *Stager) SessionUses(now clock.Millis) []SessionUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []SessionUse
	for k, u := range s.uses {
		if now-u.usedAt >= s.options.SessionAge {
			delete(s.uses, k)
			continue
		}
		r := s.rollouts[u.service]
		if u.sendsLeft == 0 || r == nil || r.finished() || r.targetShare(now) > r.exposure.initialShare() ||
			u.version == versionKey(r.rollout.Target) {
			continue
		}
		u.sendsLeft--
		s.uses[k] = u
		list = append(list, SessionUse{Session: k, Version: u.version, Age: now - u.usedAt})
	}
	return list
}

// MergeSessionUses adds the session uses received from another instance. The
// latest use of a session counts.
func (s *Stager) MergeSessionUses(now clock.Millis, list []SessionUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, received := range list {
		at := now - received.Age
		if u, ok := s.uses[received.Session]; !ok || u.usedAt < at {
			s.uses[received.Session] = lastUse{version: received.Version, usedAt: at}
		}
	}
}
