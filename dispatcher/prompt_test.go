package dispatcher

import (
	"math/rand/v2"
	"testing"
)

// Guards against a pace that follows first events which waited for others: on
// thekkedath-tabs-grown, scale-2, the mean of the largest model was up to twice
// its usual pace, and larger models were held back although engines were idle.
func TestPaceIsTheUsualOne(t *testing.T) {
	const usual = 0.058
	tests := map[string]struct {
		waiting float64 // share of the samples that waited
		longest float64 // up to this multiple of the usual time
	}{
		"nothing waits":    {0, 1},
		"some wait":        {0.3, 4},
		"few wait long":    {0.1, 20},
		"almost half wait": {0.45, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			d := &Dispatcher{paces: make(map[string]*pace)}
			for range 600 {
				ms := usual * 5000 * (0.95 + 0.1*r.Float64())
				if r.Float64() < tt.waiting {
					ms *= 1 + (tt.longest-1)*r.Float64()
				}
				d.learnPace("m", 5000, ms)
			}
			if got := d.perToken("m", 0); got < 0.9*usual || got > 1.2*usual {
				t.Errorf("ms per token: got %.4f, want about %v", got, usual)
			}
		})
	}
	d := &Dispatcher{paces: make(map[string]*pace)}
	for i := range 400 {
		d.learnPace("m", 5000, 5000*usual*(1+float64(i/200)))
	}
	if got := d.perToken("m", 0); got < 1.7*usual {
		t.Errorf("after the engines became twice as slow: got %.4f, want about %v", got, 2*usual)
	}
}
