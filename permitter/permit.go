package permitter

import (
	"math"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Unlimited is the number of units of a permit for a warm process.
const Unlimited = math.MaxInt32

// Options are the settings of granters and holders. All members use the same
// values.
type Options struct {
	ConfirmationLifetime clock.Millis // how long a confirmation of the assignment is valid
	Lifetime             clock.Millis // of a permit for a cold process
	WarmLifetime         clock.Millis // of a permit for a warm process
	MaxRequestTime       clock.Millis // longest time from the start of a request to its deadline
	Margin               clock.Millis // covers the difference between the rates of two clocks
	ColdLimit            int          // concurrent requests at a process that has finished none
	WarmLimit            int          // a process that reaches this limit is warm
	FinishedPerUnit      int          // the limit doubles after FinishedPerUnit*limit finished requests
}

// DefaultOptions returns the settings that the daemon uses.
func DefaultOptions() Options {
	return Options{
		ConfirmationLifetime: 3 * clock.Second, Lifetime: 3 * clock.Second, WarmLifetime: 30 * clock.Second,
		MaxRequestTime: clock.Minute, Margin: clock.Second / 2, ColdLimit: 2, WarmLimit: 16, FinishedPerUnit: 2,
	}
}

// TakeoverWait returns how long a new granter waits before its first permit for a
// cold process if not all members report their requests: until the last
// confirmation, permit and request of earlier epochs must have ended.
func (o Options) TakeoverWait() clock.Millis {
	return o.ConfirmationLifetime + max(o.Lifetime, o.WarmLifetime) + o.MaxRequestTime + 2*o.Margin
}

// lifetime returns the lifetime of a permit of the given units.
func (o Options) lifetime(units int) clock.Millis {
	if units == Unlimited {
		return o.WarmLifetime
	}
	return o.Lifetime
}

// Process identifies one run of an endpoint's process.
type Process struct {
	Endpoint string `cbor:"endpoint" json:"endpoint"`
	Restart  string `cbor:"restart" json:"restart"` // restart id
}

// PermitRequest is a holder's request for a permit, with a report of its state.
type PermitRequest struct {
	Process
	Holder   string `cbor:"holder"`   // member
	Epoch    uint64 `cbor:"epoch"`    // of the holder's assignment
	Sequence uint64 `cbor:"sequence"` // increases with each permit request of the holder
	Want     int    `cbor:"want"`     // units; 0 returns the permit
	Held     int    `cbor:"held"`     // units of the valid permit, 0 if there is none
	Running  int    `cbor:"running"`  // requests at the process
	Round    uint64 `cbor:"round"`    // of the newest permit
	// Finished is the number of requests that started under limited permits of the
	// round and ended normally.
	Finished uint64 `cbor:"finished"`
}

// Permit allows its holder up to Units concurrent requests at the process. It
// replaces the holder's previous permit. A round begins with a new granter and
// with each sign of cold; only requests that started in the round count towards a
// higher limit.
type Permit struct {
	Process
	Holder   string       `cbor:"holder"`   // member
	Epoch    uint64       `cbor:"epoch"`    // of the assignment
	Sequence uint64       `cbor:"sequence"` // of the permit request
	Units    int          `cbor:"units"`    // concurrent requests, or Unlimited
	Round    uint64       `cbor:"round"`    // identifies the round
	Lifetime clock.Millis `cbor:"lifetime"` // counted from the time of the permit request
}

// FirstTokenLate reports whether a first token that arrives after wait is a sign of a
// cold process: wait exceeds factor times the model's usual wait. It reports false if
// the usual wait is 0, which means that it is not known.
func FirstTokenLate(wait, usual clock.Millis, factor float64) bool {
	return usual > 0 && float64(wait) > factor*float64(usual)
}
