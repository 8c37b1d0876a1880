package pinner

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a version that the workspace may use.
type Candidate struct {
	Version   string  // <model>@<version>
	Share     float64 // weight for new sessions relative to the other candidates; at least 0
	Withdrawn bool    // may not serve requests
}

// Reason is the reason why a version was chosen. It is used as a metrics label.
type Reason string

// The reasons.
const (
	ByToken Reason = "token" // named by the session's token
	ByPin   Reason = "pin"   // named by the session's pin
	ByShare Reason = "share" // drawn by share: the session is new or its version was withdrawn
	ByNone  Reason = "none"  // no candidate accepts new sessions
)

// Choice is the version that serves a request, with the reason.
type Choice struct {
	Version string // empty if the reason is ByNone
	Reason  Reason
	// Displaced is the previous version of the session, which is withdrawn or no
	// longer a candidate. It is empty if the session is new or keeps its version.
	Displaced string
}

// Choose returns the version for a request of the session. token and pin are the
// versions named by the session's token and pin, or empty. The token takes
// precedence, because the caller received it last. Choose is a pure function.
func Choose(workspace, session, token, pin string, candidates []Candidate) Choice {
	var c Choice
	switch {
	case available(token, candidates):
		return Choice{Version: token, Reason: ByToken}
	case available(pin, candidates):
		return Choice{Version: pin, Reason: ByPin, Displaced: token}
	case token != "":
		c.Displaced = token
	default:
		c.Displaced = pin
	}
	c.Version = drawByShare(workspace, session, candidates)
	c.Reason = ByShare
	if c.Version == "" {
		c.Reason = ByNone
	}
	return c
}

// available reports whether version is a candidate and not withdrawn.
func available(version string, candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].Version == version && version != "" {
			return !candidates[i].Withdrawn
		}
	}
	return false
}

// drawByShare returns the candidate with the least exponential variate of rate
// Share, so that each candidate is drawn with a probability in proportion to its
// share. It returns "" if no candidate accepts new sessions.
func drawByShare(workspace, session string, candidates []Candidate) string {
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

// uniform returns a hash of the arguments, uniform in the open interval (0, 1).
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
