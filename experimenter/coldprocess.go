package experimenter

import (
	"fmt"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/permitter"
)

// coldProcess is one endpoint. Its limit follows the work that it has finished.
type coldProcess struct {
	name     string
	restart  int
	running  int
	finished int // since it last became cold
	above    clock.Millis
	since    clock.Millis // since when it is above its limit, if it is
	cold     clock.Millis // when it last became cold
}

func (p *coldProcess) id() permitter.Process {
	return permitter.Process{Endpoint: p.name, Restart: fmt.Sprint(p.restart)}
}

// limit returns the concurrent requests that the process can handle.
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

// cool makes processes cold, by a restart that ends their work, or silently.
func (f *coldFleet) cool(processes []*coldProcess, silent bool) {
	for _, p := range processes {
		f.follow(p)
		p.finished, p.cold = 0, f.agenda.now
		if !silent {
			p.restart++
			p.running = 0
		}
		f.follow(p)
	}
}

// follow adds up the time for which a process is above its limit. It is called
// before and after each change.
func (f *coldFleet) follow(p *coldProcess) {
	if p.since > 0 {
		p.above += f.agenda.now - p.since
		p.since = 0
	}
	if p.running > p.limit() {
		p.since = f.agenda.now
	}
}
