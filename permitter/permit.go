package permitter

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Unlimited is the number of units of a permit for a warm process.
const Unlimited = math.MaxInt32

// Options are the settings of granters and holders. All members use the same.
type Options struct {
	Confirm      clock.Millis // how long a confirmation of the assignment is valid
	Lifetime     clock.Millis // of a permit for a cold process
	WarmLifetime clock.Millis // of a permit for a warm process
	Work         clock.Millis // longest time from the start of a request to its deadline
	Margin       clock.Millis // covers the difference between the rates of two clocks
	ColdLimit    int          // concurrent requests at a process that has finished nothing
	WarmLimit    int          // a process that has earned this limit is warm
	StepWork     int          // finished requests for each concurrent one before the limit doubles
}

// DefaultOptions returns the settings of the daemon.
func DefaultOptions() Options {
	return Options{
		Confirm: 3 * clock.Second, Lifetime: 3 * clock.Second, WarmLifetime: 30 * clock.Second,
		Work: clock.Minute, Margin: clock.Second / 2, ColdLimit: 2, WarmLimit: 16, StepWork: 2,
	}
}

// Quiet returns how long a new granter waits before its first permit for a cold
// process: until the last confirmation, permit and request of earlier epochs
// must have ended.
func (o Options) Quiet() clock.Millis {
	return o.Confirm + max(o.Lifetime, o.WarmLifetime) + o.Work + 2*o.Margin
}

func (o Options) lifetime(units int) clock.Millis {
	if units == Unlimited {
		return o.WarmLifetime
	}
	return o.Lifetime
}

// Process is one run of an endpoint's process.
type Process struct {
	Endpoint string `cbor:"endpoint" json:"endpoint"`
	Restart  string `cbor:"restart" json:"restart"` // restart id
}

// Ask is a holder's request for a permit and its report. Held is 0 if the
// holder has no valid permit. Finished counts the requests that started under
// limited permits of the round and ended normally.
type Ask struct {
	Process
	Holder   string `cbor:"holder"`
	Epoch    uint64 `cbor:"epoch"`
	Sequence uint64 `cbor:"sequence"`
	Want     int    `cbor:"want"` // units; 0 gives the permit back
	Held     int    `cbor:"held"`
	Running  int    `cbor:"running"`
	Round    uint64 `cbor:"round"`
	Finished uint64 `cbor:"finished"`
}

// Permit allows its holder up to Units concurrent requests at the process. It
// replaces the permit that the holder had before. A round begins with a new
// granter and with each sign of cold; only requests that started in it raise
// the limit.
type Permit struct {
	Process
	Holder   string       `cbor:"holder"`
	Epoch    uint64       `cbor:"epoch"`
	Sequence uint64       `cbor:"sequence"` // of the ask
	Units    int          `cbor:"units"`
	Round    uint64       `cbor:"round"`
	Lifetime clock.Millis `cbor:"lifetime"` // from before the holder asked
}

// Late reports whether a first token after wait is a sign of a cold process,
// given the model's usual wait and the factor above it that is still normal.
func Late(wait, usual clock.Millis, factor float64) bool {
	return usual > 0 && float64(wait) > factor*float64(usual)
}
