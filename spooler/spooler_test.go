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
		idle, first, second int // bytes of a caller that asks for nothing, and of two that wait
		again               bool
		pause               clock.Millis
		want, wantSecond    Verdict
	}{
		"room left":            {0, limit / 2, limit / 8, false, patience, Wait, Granted},
		"full":                 {limit, limit / 2, limit / 8, false, patience, TooSlow, Wait},
		"full too shortly":     {limit, limit / 2, limit / 8, false, patience - 1, Wait, Wait},
		"full again":           {limit, limit / 2, limit / 8, true, patience, Wait, Wait},
		"another holds more":   {limit, limit / 8, limit / 2, false, patience, Wait, TooSlow},
		"largest does not ask": {2 * limit, limit / 2, 0, false, patience, TooSlow, Granted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(limit)
			idle, first, second := s.Open(), s.Open(), s.Open()
			idle.Add(tt.idle)
			first.Add(freeBytes + tt.first)
			second.Add(tt.second)
			first.Hold(0, 1<<10)
			second.Hold(0, 1<<10)
			if tt.again { // the first caller gets what it asks for in between
				first.Release(tt.first + 1<<10)
				first.Hold(patience/2, 1<<10)
				first.Add(tt.first)
			}
			got, gotSecond := first.Hold(tt.pause, 1<<10), second.Hold(tt.pause, 1<<10)
			if got != tt.want || gotSecond != tt.wantSecond {
				t.Errorf("got %v and %v, want %v and %v", got, gotSecond, tt.want, tt.wantSecond)
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
		for now := range clock.Millis(60) {
			i := rapid.IntRange(0, len(callers)-1).Draw(t, "caller")
			n := rapid.IntRange(-200<<10, 200<<10).Draw(t, "bytes")
			if n = max(n, -held[i]); n < 0 {
				callers[i].Release(-n)
				held[i] += n
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
