package experimenter

import (
	"fmt"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/permitter"
)

// coldProcess models the server process of an endpoint. A cold process fails
// requests above a concurrency limit, which doubles with the number of requests
// that it has finished, until the process is warm and has no limit.
type coldProcess struct {
	name           string
	restarts       int
	running        int
	finished       int // requests since the process last became cold
	timeAboveLimit clock.Millis
	aboveSince     clock.Millis // when it last went above its limit, or 0 if it is not above it
	coldSince      clock.Millis // when it last became cold, or -1 once it has become warm
}

func (p *coldProcess) id() permitter.Process {
	return permitter.Process{Endpoint: p.name, Restart: fmt.Sprint(p.restarts)}
}

// limit returns the number of concurrent requests that the process can handle.
func (p *coldProcess) limit() int {
	limit, finished := coldOptions.ColdLimit, p.finished
	for finished >= coldOptions.FinishedPerUnit*limit {
		finished -= coldOptions.FinishedPerUnit * limit
		limit *= 2
		if limit >= coldOptions.WarmLimit {
			return permitter.Unlimited
		}
	}
	return limit
}

// makeCold makes processes cold, by a restart that aborts their requests or
// without one.
func (f *coldFleet) makeCold(processes []*coldProcess, withoutRestart bool) {
	for _, p := range processes {
		f.trackTimeAboveLimit(p)
		p.finished, p.coldSince = 0, f.sim.now
		if !withoutRestart {
			p.restarts++
			p.running = 0
		}
		f.trackTimeAboveLimit(p)
	}
}

// trackTimeAboveLimit updates the total time for which a process has been above
// its limit. It is called before and after each change of the process.
func (f *coldFleet) trackTimeAboveLimit(p *coldProcess) {
	if p.aboveSince > 0 {
		p.timeAboveLimit += f.sim.now - p.aboveSince
		p.aboveSince = 0
	}
	if p.running > p.limit() {
		p.aboveSince = f.sim.now
	}
}
