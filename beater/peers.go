package beater

import (
	"iter"
	"slices"

	"rosemaryarch.example/rosemaryarch/clock"
)

// peer is another instance.
type peer struct {
	member Member
	heard  clock.Millis // 0: never
	since  clock.Millis // instant at which this incarnation was first heard
	alive  bool
	loads  []Load
	rates  []Rate
	loaded bool // loads and rates were told
}

// aged returns the member with the age of what is known of it.
func (p *peer) aged(now clock.Millis) Member {
	m := p.member
	m.Age = int64(now - p.heard)
	return m
}

// peers are all other instances. The order by name and the count of neighbours
// are kept with each change, since every message and request asks for them.
type peers struct {
	dataCentre string // of this instance
	byName     map[string]*peer
	names      []string // in order
	byID       map[uint64]*peer
	near       int // number in the same data centre
}

func newPeers(dataCentre string) *peers {
	return &peers{dataCentre: dataCentre, byName: make(map[string]*peer), byID: make(map[uint64]*peer)}
}

func (s *peers) len() int { return len(s.names) }

// get returns the peer of a name, nil if there is none.
func (s *peers) get(name string) *peer { return s.byName[name] }

// add takes a peer of a new name.
func (s *peers) add(p *peer) {
	name := p.member.Name
	at, _ := slices.BinarySearch(s.names, name)
	s.names = slices.Insert(s.names, at, name)
	s.byName[name], s.byID[nameHash(name)] = p, p
	if p.member.DataCentre == s.dataCentre {
		s.near++
	}
}

// forget drops the peers that were last heard before an instant.
func (s *peers) forget(before clock.Millis) {
	s.names = slices.DeleteFunc(s.names, func(name string) bool {
		p := s.byName[name]
		if p.heard == 0 || p.heard >= before {
			return false
		}
		delete(s.byName, name)
		delete(s.byID, nameHash(name))
		if p.member.DataCentre == s.dataCentre {
			s.near--
		}
		return true
	})
}

// ordered yields the peers in the order of their names.
func (s *peers) ordered() iter.Seq[*peer] {
	return func(yield func(*peer) bool) {
		for _, name := range s.names {
			if !yield(s.byName[name]) {
				return
			}
		}
	}
}

// of returns the names of the peers of a data centre, in order.
func (s *peers) of(dataCentre string) []string {
	var list []string
	for p := range s.ordered() {
		if p.member.DataCentre == dataCentre {
			list = append(list, p.member.Name)
		}
	}
	return list
}
