package spooler

import (
	"testing"

	"pgregory.net/rapid"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Guards against a caller that holds more than its share of the account, and against one
// that suffers within its free bytes because others hold much.
func TestHold(t *testing.T) {
	const limit = 1 << 20
	tests := map[string]struct {
		others    int // bytes of the account that another caller holds
		held, ask int
		want      Verdict
	}{
		"free":                         {0, 0, freeBytes, Granted},
		"free beside a full account":   {limit, 0, freeBytes, Granted},
		"up to a quarter":              {0, freeBytes, limit / 4, Granted},
		"beyond a quarter":             {0, freeBytes, limit/4 + 1, Wait},
		"a quarter of the rest":        {limit / 2, freeBytes, limit / 8, Granted},
		"beyond a quarter of the rest": {limit / 2, freeBytes, limit/8 + 1, Wait},
		"full":                         {limit, freeBytes, 1, Wait},
		"nothing more, full":           {limit, freeBytes + 1, 0, Wait},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(limit)
			s.Open().Add(freeBytes + tt.others)
			b := s.Open()
			b.Add(tt.held)
			before := s.Held()
			if got := b.Hold(0, tt.ask); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
			want := before
			if tt.want == Granted {
				want += int64(tt.ask)
			}
			if got := s.Held(); got != want {
				t.Errorf("held: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against an end of a response while the account still has room, before the time
// has passed, or of any but the caller that holds most of those that wait.
func TestTooSlow(t *testing.T) {
	const limit = 1 << 20
	tests := map[string]struct {
		idle      int // bytes of a caller that does not ask for more
		first     int // bytes of the caller that is asked about
		second    int // bytes of another caller that asks too
		pause     clock.Millis
		granted   bool // a request in between is granted
		want      Verdict
		afterward Verdict // of the second caller
	}{
		"room left":             {0, limit / 2, limit / 8, patience, false, Wait, Granted},
		"full":                  {limit, limit / 2, limit / 8, patience, false, TooSlow, Wait},
		"full for a short time": {limit, limit / 2, limit / 8, patience - 1, false, Wait, Wait},
		"full again":            {limit, limit / 2, limit / 8, patience, true, Wait, Wait},
		"another holds more":    {limit, limit / 8, limit / 2, patience, false, Wait, TooSlow},
		"largest does not ask":  {2 * limit, limit / 2, 0, patience, false, TooSlow, Granted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(limit)
			idle, first, second := s.Open(), s.Open(), s.Open()
			idle.Add(tt.idle)
			first.Add(freeBytes + tt.first)
			second.Add(tt.second)
			ask := func(now clock.Millis) (Verdict, Verdict) {
				return first.Hold(now, 1<<10), second.Hold(now, 1<<10)
			}
			ask(0)
			if tt.granted {
				idle.Release(tt.idle)
				first.Release(tt.first)
				first.Hold(patience/2, 1)
				first.Add(tt.first)
				idle.Add(tt.idle)
			}
			got, afterward := ask(tt.pause)
			if got != tt.want || afterward != tt.afterward {
				t.Errorf("got %v and %v, want %v and %v", got, afterward, tt.want, tt.afterward)
			}
		})
	}
}

// Guards against bytes that are lost or counted twice, and against granted bytes beyond
// the account, in any order of calls.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 1<<20).Draw(t, "limit")
		s := New(int64(limit))
		callers := make([]*Backlog, 5)
		held := make([]int, len(callers))
		for i := range callers {
			callers[i] = s.Open()
		}
		for now := range clock.Millis(rapid.IntRange(1, 60).Draw(t, "calls")) {
			i := rapid.IntRange(0, len(callers)-1).Draw(t, "caller")
			n := rapid.IntRange(0, 200<<10).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "release") {
				n = min(n, held[i])
				callers[i].Release(n)
				held[i] -= n
			} else if callers[i].Hold(now*100, n) == Granted {
				held[i] += n
			}
			sum, beyond := 0, 0
			for _, h := range held {
				sum += h
				beyond += max(0, h-freeBytes)
			}
			if got := s.Held(); got != int64(sum) || beyond > limit {
				t.Fatalf("held: got %d, want %d; of the account %d, at most %d", got, sum, beyond, limit)
			}
		}
		for _, c := range callers {
			c.Close()
		}
		if got := s.Held(); got != 0 || s.used != 0 || len(s.waiting) != 0 {
			t.Fatalf("at the end: got %d held, %d used, %d waiting", got, s.used, len(s.waiting))
		}
	})
}
