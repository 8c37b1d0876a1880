package heartbeater

import (
	"iter"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

// peer is another instance, as last reported.
type peer struct {
	member     Member
	lastHeard  clock.Millis // instant of the latest state; 0: never heard
	firstHeard clock.Millis // instant of the first message of this incarnation
	alive      bool
	loads      []Load
	rates      []Rate
	demands    []Demand
	reported   bool // loads, rates and demands have been received
}

// withAge returns the member with its age at the given instant.
func (p *peer) withAge(now clock.Millis) Member {
	m := p.member
	m.Age = int64(now - p.lastHeard)
	return m
}

// peers holds all other instances. The order by name and the number of peers in
// the same data centre are kept up to date, since every message and request uses
// them.
type peers struct {
	dataCentre string // of this instance
	byName     map[string]*peer
	names      []string         // sorted
	byID       map[uint64]*peer // the key is nameHash
	localCount int              // number of peers in the same data centre
}

func newPeers(dataCentre string) *peers {
	return &peers{dataCentre: dataCentre, byName: make(map[string]*peer), byID: make(map[uint64]*peer)}
}

func (s *peers) len() int { return len(s.names) }

// get returns the peer with the given name, or nil.
func (s *peers) get(name string) *peer { return s.byName[name] }

// add adds a peer, whose name must be new.
func (s *peers) add(p *peer) {
	name := p.member.Name
	at, _ := slices.BinarySearch(s.names, name)
	s.names = slices.Insert(s.names, at, name)
	s.byName[name], s.byID[nameHash(name)] = p, p
	if p.member.DataCentre == s.dataCentre {
		s.localCount++
	}
}

// expire removes the peers that were last heard before an instant. Peers that
// were never heard are kept.
func (s *peers) expire(before clock.Millis) {
	s.names = slices.DeleteFunc(s.names, func(name string) bool {
		p := s.byName[name]
		if p.lastHeard == 0 || p.lastHeard >= before {
			return false
		}
		delete(s.byName, name)
		delete(s.byID, nameHash(name))
		if p.member.DataCentre == s.dataCentre {
			s.localCount--
		}
		return true
	})
}

// ordered yields the peers ordered by name.
func (s *peers) ordered() iter.Seq[*peer] {
	return func(yield func(*peer) bool) {
		for _, name := range s.names {
			if !yield(s.byName[name]) {
				return
			}
		}
	}
}

// namesIn returns the sorted names of the peers in a data centre.
func (s *peers) namesIn(dataCentre string) []string {
	var list []string
	for p := range s.ordered() {
		if p.member.DataCentre == dataCentre {
			list = append(list, p.member.Name)
		}
	}
	return list
}
