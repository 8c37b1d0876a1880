package engineemulator

import (
	"context"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Options configure one engine. A zero value selects the default in brackets.
type Options struct {
	ID       string   // endpoint id, part of the restart id
	Versions []string // keys of the versions that are loaded initially
	Seed     uint64   // seed of the random draws for Faults.ErrorRate

	Now            func() clock.Millis                             // [system clock]
	Sleep          func(ctx context.Context, d clock.Millis) error // [timer]
	TokenTime      func(batch int) clock.Millis                    // time per token at the batch size [10 + batch/2]
	FirstTokenTime func(promptBytes, cachedBytes int) clock.Millis // until the first token [20 + 1 per 20 uncached bytes]

	AnswerTokens int // mean number of tokens of a full answer [64]
	MaxBatch     int // limit of concurrently running attempts [32]
	MaxQueue     int // limit of queued attempts [64]

	ColdLimit         int          // limit of running and queued attempts while the engine is cold [2]
	WarmAfter         int          // completed attempts after which a cold engine is warm [8]
	ColdFactor        clock.Millis // factor on the token times while the engine is cold [4]
	Warm              bool         // the engine is warm initially
	CutAboveColdLimit bool         // an attempt above ColdLimit cuts all streams instead of being refused

	CacheEntries    int          // capacity of the prefix cache [16]
	CacheEventDelay clock.Millis // delay until a cache event is listed [0]
	LoadDelay       clock.Millis // age of the load report [0]
	LoadTime        clock.Millis // time from a load command until the version is ready [0]

	// Fetch, if set, fetches a version's weights on a load command. The command
	// is refused if it returns an error.
	Fetch func(ctx context.Context, version string) error

	NoResume      bool   // resume requests are refused
	IgnoreFencing bool   // commands run regardless of their fencing number
	CommandKey    string // key that commands must present; empty: none
}

// Faults are the failures that the emulator injects. The zero value injects
// none. A stream has the faults that are set when its attempt is admitted. The
// fields whose names end in At count the tokens of an attempt from 1 and take
// the end marker as one more token; 0 turns the fault off.
type Faults struct {
	MaxStreams      int          // number of streams affected before the faults are cleared; 0: all
	Down            bool         // all connections are cut, including those of running streams
	ErrorRate       float64      // probability that a generate or resume call fails with status 500
	FirstTokenDelay clock.Millis // additional time to the first token
	HangAt          int          // nothing is sent from the n-th token on
	CutAt           int          // the connection is cut instead of sending the n-th token
	CutWithEOF      bool         // with CutAt: the stream ends regularly but without an end marker
	MismatchAt      int          // the events from the n-th on belong to another answer
	SkipAt          int          // the n-th event is omitted
	DuplicateEvents bool         // every event is sent twice
	BadVersion      string       // this version answers twice as fast, with low scores
	DropEvents      int          // every n-th cache event is lost; 0: none
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = clock.System().Now
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	if o.TokenTime == nil {
		o.TokenTime = func(batch int) clock.Millis { return 10 + clock.Millis(batch)/2 }
	}
	if o.FirstTokenTime == nil {
		o.FirstTokenTime = func(prompt, cached int) clock.Millis { return 20 + clock.Millis(prompt-cached)/20 }
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
