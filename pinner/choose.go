package pinner

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a version that the workspace may use.
type Candidate struct {
	Version   string  // <model>@<version>
	Share     float64 // of new sessions, relative to the other candidates; at least 0
	Withdrawn bool    // takes no work
}

// Reason tells why a version was chosen. It equals the label of its counter.
type Reason string

// The reasons.
const (
	ByToken Reason = "token" // the session's token names it
	ByPin   Reason = "pin"   // the session's pin names it
	ByShare Reason = "share" // the session is new or was displaced
	ByNone  Reason = "none"  // no candidate takes new sessions
)

// Choice is the version that serves a request.
type Choice struct {
	Version string // empty if the reason is ByNone
	Reason  Reason
	// Displaced is the version that the session had and that is withdrawn or no
	// longer a candidate. It is empty if the session keeps its version or is new.
	Displaced string
}

// Choose returns the version for a request of the session. The versions that
// the token and the pin name are empty if there is none; the token goes first,
// because the caller received it last. The result depends on the arguments only.
func Choose(workspace, session, token, pin string, candidates []Candidate) Choice {
	var c Choice
	switch {
	case live(token, candidates):
		return Choice{Version: token, Reason: ByToken}
	case live(pin, candidates):
		return Choice{Version: pin, Reason: ByPin, Displaced: token}
	case token != "":
		c.Displaced = token
	default:
		c.Displaced = pin
	}
	c.Version = share(workspace, session, candidates)
	c.Reason = ByShare
	if c.Version == "" {
		c.Reason = ByNone
	}
	return c
}

func live(version string, candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].Version == version && version != "" {
			return !candidates[i].Withdrawn
		}
	}
	return false
}

// share returns the candidate with the least exponential variate of rate Share,
// which is each one with a probability in proportion to its share.
func share(workspace, session string, candidates []Candidate) string {
	best, least := "", math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if c.Withdrawn || !(c.Share > 0) {
			continue
		}
		if v := -math.Log(uniform(workspace, session, c.Version)) / c.Share; v < least {
			best, least = c.Version, v
		}
	}
	return best
}

// uniform returns a hash of the arguments as a number above 0 and below 1.
func uniform(workspace, session, version string) float64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{workspace, session, version} {
		n := len(s)
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)})
	}
	return (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
}
