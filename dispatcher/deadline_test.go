package dispatcher

import (
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Guards against a limit on requests before a stop that does not hold from its very instant
// on, or that refuses requests of the other kind (LOST, review/9).
func TestStopSchedule(t *testing.T) {
	stream, plain := route(matcher.Stream, nil), route(matcher.Safe, nil)
	s := &stopSchedule{streamsUntil: 3000, responsesBy: 7500}
	tests := map[string]struct {
		schedule *stopSchedule
		now      clock.Millis
		route    matcher.Route
		want     bool
	}{
		"no stop":                       {nil, 9000, stream, false},
		"stream before the limit":       {s, 2999, stream, false},
		"stream at the limit":           {s, 3000, stream, true},
		"plain after the stream limit":  {s, 3000, plain, false},
		"plain with four targets left":  {s, 7500 - 4*200, plain, false},
		"plain with less time left":     {s, 7500 - 4*200 + 1, plain, true},
		"plain after the end of a stop": {s, 8000, plain, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tt.schedule.refuses(tt.now, &tt.route); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
