package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns a clock that starts at the wall time and then follows
// CLOCK_BOOTTIME: a step of the wall time does not move it, and it includes the
// time during which the machine is suspended. If the system has no such clock, it
// returns System().
func Boot() Clock {
	start, ok := bootTime()
	if !ok {
		return System()
	}
	base := Millis(time.Now().UnixMilli())
	return Clock{Now: func() Millis {
		now, ok := bootTime()
		if !ok {
			now = start
		}
		return base + now - start
	}}
}

// bootTime returns the time since boot, or false if it is not available.
func bootTime() (Millis, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return Millis(t.Sec)*Second + Millis(t.Nsec)/1e6, true
}
