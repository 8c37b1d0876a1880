package engineemulator

import (
	"context"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Options describe one engine. Zero values stand for the defaults in brackets.
type Options struct {
	ID       string   // endpoint id, part of the restart id
	Versions []string // version keys loaded at the start
	Seed     uint64   // of the error rate

	Now   func() clock.Millis                             // [system clock]
	Sleep func(ctx context.Context, d clock.Millis) error // [timer]
	Token func(batch int) clock.Millis                    // time between tokens [10 + batch/2]
	First func(promptBytes, cachedBytes int) clock.Millis // time to first token [20 + 1 per 20 bytes]

	AnswerTokens int // mean length of a full answer [64]
	MaxBatch     int // attempts that run at once [32]
	MaxQueue     int // attempts that wait [64]

	ColdLimit    int          // attempts that a cold engine can handle [2]
	WarmAfter    int          // finished attempts after which it is warm [8]
	ColdFactor   clock.Millis // slow-down while cold [4]
	Warm         bool         // starts warm
	FailOverfull bool         // above ColdLimit, all streams are cut instead of a refusal

	CacheEntries  int          // prefixes in the cache [16]
	CacheEventLag clock.Millis // age at which a cache event shows [0]
	LoadLag       clock.Millis // age of the load report [0]
	LoadTime      clock.Millis // from a load command until the version is ready [0]

	// Fetch, if set, gets a version's weights on a load command. Its error
	// refuses the command.
	Fetch func(ctx context.Context, version string) error

	NoResume      bool   // attempts cannot be resumed
	IgnoreFencing bool   // commands run whatever their number
	CommandKey    string // required of commands, unless empty
}

// Faults are the failures that the emulator injects. The zero value injects
// none. A stream takes the faults that are set when it starts; n counts tokens
// of the attempt from 1, and 0 turns the fault off.
type Faults struct {
	Times      int          // streams that the faults still hit before they clear; 0: all
	Down       bool         // every connection is cut, running streams too
	ErrorRate  float64      // share of generate calls that fail with status 500
	LateFirst  clock.Millis // added before the first token
	HangAt     int          // nothing is sent from the n-th token on
	CutAt      int          // the connection is cut instead of the n-th token
	CutQuietly bool         // with CutAt: the stream closes in order, without an end marker
	CrossAt    int          // pieces from the n-th on are of another answer
	SkipAt     int          // the n-th piece is left out
	Repeat     bool         // every piece is sent twice
	BadVersion string       // this version answers fast and badly
	DropEvents int          // each n-th cache event is lost
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = clock.System().Now
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	if o.Token == nil {
		o.Token = func(batch int) clock.Millis { return 10 + clock.Millis(batch)/2 }
	}
	if o.First == nil {
		o.First = func(prompt, cached int) clock.Millis { return 20 + clock.Millis(prompt-cached)/20 }
	}
	for field, value := range map[*int]int{
		&o.AnswerTokens: 64, &o.MaxBatch: 32, &o.MaxQueue: 64, &o.ColdLimit: 2, &o.WarmAfter: 8, &o.CacheEntries: 16,
	} {
		if *field == 0 {
			*field = value
		}
	}
	if o.ColdFactor == 0 {
		o.ColdFactor = 4
	}
	return o
}

func sleep(ctx context.Context, d clock.Millis) error {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
