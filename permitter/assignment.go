package permitter

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Assignment lists the members that grant permits. A member is an instance with
// its incarnation, so that a restarted instance is a different member.
type Assignment struct {
	Epoch   uint64   `json:"epoch"`
	Writer  string   `json:"writer"` // member that wrote this epoch
	Members []string `json:"members"`
	// Awaiting lists the members of the earlier epochs that may still be in use.
	// The assignment is settled when it is empty.
	Awaiting [][]string `json:"awaiting,omitempty"`
	// Departed lists the former members whose requests may still be running. A
	// departed member that is alive, because the writer's view of the membership
	// was incomplete, still gets permits.
	Departed []string `json:"departed,omitempty"`
}

// Granter returns the member that grants permits for the endpoint (rendezvous
// hashing, Thaler and Ravishankar 1998), or "" if there are no members.
func (a Assignment) Granter(endpoint string) string {
	var best string
	var highest uint64
	var d xxhash.Digest
	for _, m := range a.Members {
		d.Reset()
		_, _ = d.WriteString(m)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(endpoint)
		if h := d.Sum64(); best == "" || h > highest || h == highest && m < best {
			best, highest = m, h
		}
	}
	return best
}

// Settled reports whether no granter of an earlier epoch can be confirmed any
// more, so that the assignment may be used.
func (a Assignment) Settled() bool { return a.Epoch > 0 && len(a.Awaiting) == 0 }

// Next returns the assignment that follows a. Former members that are not in
// members become departed, except those in drained, which have stopped for good
// and whose requests have all ended.
func (a Assignment) Next(writer string, members, drained []string) Assignment {
	n := Assignment{Epoch: a.Epoch + 1, Writer: writer, Members: slices.Clone(members)}
	slices.Sort(n.Members)
	if a.Epoch > 0 {
		n.Awaiting = append(slices.Clone(a.Awaiting), a.Members)
	}
	for _, m := range append(slices.Clone(a.Departed), a.Members...) {
		if !slices.Contains(members, m) && !slices.Contains(drained, m) {
			n.Departed = append(n.Departed, m)
		}
	}
	return n
}

// Settle returns the settled assignment and true if votes contains at least half
// of the members of each awaited epoch. A vote states that the member has adopted
// a.Epoch.
func (a Assignment) Settle(votes []string) (Assignment, bool) {
	for _, epochMembers := range a.Awaiting {
		if 2*countVotes(epochMembers, votes) < len(epochMembers) {
			return a, false
		}
	}
	a.Awaiting = nil
	return a, true
}

// countVotes returns how many of the members are in votes.
func countVotes(members, votes []string) int {
	var n int
	for _, m := range members {
		if slices.Contains(votes, m) {
			n++
		}
	}
	return n
}

// permitHolders returns the members and former members that may hold permits.
func (a Assignment) permitHolders() []string { return append(slices.Clone(a.Members), a.Departed...) }

// newer reports whether a replaces b.
func (a Assignment) newer(b Assignment) bool {
	return a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.Settled() && !b.Settled()
}
