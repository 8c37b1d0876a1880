package dispatcher

import (
	"math/rand/v2"
	"testing"
)

// Guards against an estimate of the prefill time that follows first events
// delayed by other requests. With a mean, the estimate for the largest model was
// up to twice its usual value, and escalations were held back although engines
// were idle. Seen on thekkedath-tabs-grown, scale-2.
func TestPrefillTimeIgnoresQueueing(t *testing.T) {
	const usual = 0.058
	tests := map[string]struct {
		delayed   float64 // share of the samples that were delayed
		maxFactor float64 // largest delayed time as a multiple of the usual time
	}{
		"none delayed":        {0, 1},
		"some delayed":        {0.3, 4},
		"few delayed much":    {0.1, 20},
		"almost half delayed": {0.45, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			d := &Dispatcher{prefillTimes: make(map[string]*prefillTime)}
			for range 600 {
				ms := usual * 5000 * (0.95 + 0.1*r.Float64())
				if r.Float64() < tt.delayed {
					ms *= 1 + (tt.maxFactor-1)*r.Float64()
				}
				d.recordPrefill("m", 5000, ms)
			}
			if got := d.prefillMsPerToken("m", 0); got < 0.9*usual || got > 1.2*usual {
				t.Errorf("ms per token: got %.4f, want about %v", got, usual)
			}
		})
	}
	d := &Dispatcher{prefillTimes: make(map[string]*prefillTime)}
	for i := range 400 {
		d.recordPrefill("m", 5000, 5000*usual*(1+float64(i/200)))
	}
	if got := d.prefillMsPerToken("m", 0); got < 1.7*usual {
		t.Errorf("after the engines became twice as slow: got %.4f, want about %v", got, 2*usual)
	}
}
