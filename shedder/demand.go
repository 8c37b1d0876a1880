package shedder

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"rosemaryarch.example/rosemaryarch/averager"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// workspace is the demand of one workspace for a service.
type workspace struct {
	demand averager.Rate
	ranks  []rankDemand
	credit float64 // requests that are due to be admitted
}

// rankDemand is the demand of one rank of a workspace.
type rankDemand struct {
	rank   int
	demand averager.Rate
}

// addRank counts work as demand of a rank.
func (w *workspace) addRank(now clock.Millis, rank int, work float64) {
	for i := range w.ranks {
		if w.ranks[i].rank == rank {
			w.ranks[i].demand.Add(now, work)
			return
		}
	}
	added := rankDemand{rank: rank, demand: averager.Rate{Span: rankSpan}}
	added.demand.Add(now, work)
	w.ranks = append(w.ranks, added)
}

// refusedShare returns the share of a rank that is refused if the given share of the
// workspace's work is: the least urgent ranks first, each up to maxRefused.
func (w *workspace) refusedShare(now clock.Millis, rank int, share float64) float64 {
	var total, later, own float64
	for i := range w.ranks {
		v := w.ranks[i].demand.Value(now)
		total += v
		switch k := w.ranks[i].rank; {
		case k > rank:
			later += v
		case k == rank:
			own += v
		}
	}
	if own <= 0 {
		return min(maxRefused, share)
	}
	return min(maxRefused, max(0, (share*total-maxRefused*later)/own))
}

// plan is the division of the work to refuse among the workspaces.
type plan struct {
	at    clock.Millis
	level float64 // demand of a workspace above which its work is refused
	scale float64 // demand of all instances per demand of this one, for an unlisted workspace
	rates map[uint64]float64
	above int // workspaces above the level
	// excess is the part of all work by which workspaces exceed the mean of all.
	excess float64
}

// refusedShare returns the share of a workspace's work that is refused. own is its
// demand on this instance.
func (p *plan) refusedShare(workspace uint64, own float64) float64 {
	demand, ok := p.rates[workspace]
	if !ok {
		demand = finite(own * p.scale)
	}
	if demand <= 0 {
		return 0
	}
	return min(maxRefused, max(0, demand-p.level)/demand)
}

// update computes the level above which the work of workspaces is refused, so that the
// controlled share of all work is. Parts of a share that a workspace does not use are thus
// available to the others. The demand of instances that do not report it counts as the
// mean of those that do, this one included.
func (v *service) update(now clock.Millis, c *control, name string, source func(clock.Millis, string) Demand) {
	if c.plan.rates != nil && now-c.plan.at < planAge {
		return
	}
	var others Demand
	if source != nil {
		others = source(now, name)
	}
	rates := make(map[uint64]float64, len(others.Rates)+len(v.workspaces))
	for hash, r := range others.Rates {
		rates[hash] = finite(r)
	}
	for name, w := range v.workspaces {
		rates[matcher.Hash("workspace", name)] += w.demand.Value(now)
	}
	reporting := float64(1 + max(0, others.Reporting))
	scale := 1 + float64(max(0, others.Unknown))/reporting
	for hash, r := range rates {
		rates[hash] = r * scale
	}
	for _, s := range others.Sums {
		// The stated sum replaces what the scale has added for these instances.
		counted := min(1, max(0, float64(s.Instances)/(scale*reporting)))
		for hash, r := range s.Rates {
			rates[hash] = rates[hash]*(1-counted) + finite(r)
		}
	}
	// The order of a map would round the sums differently in each run.
	sorted := slices.Sorted(maps.Values(rates))
	total := 0.0
	for _, r := range sorted {
		total += r
	}
	low, high := 0.0, sorted[len(sorted)-1]
	for range 24 {
		level := (low + high) / 2
		sum := 0.0
		for _, r := range sorted {
			sum += min(maxRefused*r, max(0, r-level))
		}
		if sum > c.refused*total {
			low = level
		} else {
			high = level
		}
	}
	c.plan = plan{at: now, level: high, scale: scale * reporting, rates: rates}
	mean := total / float64(max(1, len(rates)))
	for _, r := range sorted {
		if r > high {
			c.plan.above++
		}
		c.plan.excess += min(maxRefused*r, max(0, r-mean)) / max(total, 1e-9)
	}
}

// maxClasses is the number of classes of a service that are counted, maxSessions that up
// to which sessions are: callers choose their sessions' names, and a class takes about
// 100 bytes. The other classes are bounded by the configuration.
const (
	maxClasses  = 4096
	maxSessions = maxClasses / 2
)

// class is the hash of a group of requests none of which may starve.
type class uint64

// sessionClass is the index of the session in the result of classesOf.
const sessionClass = 4

func classOf(by, name string) class { return class(matcher.Hash(by, name)) }

// count holds decaying counts of requests.
type count struct{ asked, admitted averager.Rate }

// share returns the admitted share of the requests.
func (c *count) share(now clock.Millis) float64 {
	asked := c.asked.Value(now)
	if asked <= 0 {
		return 1
	}
	return c.admitted.Value(now) / asked
}

// classesOf returns the classes of a request: of its kind, its size, its workspace, its
// rank and, if it has one, its session.
func (v *service) classesOf(r Request) []class {
	list := []class{
		classOf("kind", r.Kind), classOf("size", r.Kind+"/"+v.sizes[r.Kind].decile(r.Size)),
		classOf("workspace", r.Workspace), classOf("rank", strconv.Itoa(r.Rank)),
	}
	if r.Session != "" {
		list = append(list, classOf("session", r.Session))
	}
	return list
}

// starves reports whether less than the guaranteed share of one of the request's
// classes would be admitted without it.
func (v *service) starves(now clock.Millis, r Request, counted bool) bool {
	list := v.classesOf(r)
	kind := 1.0
	if c := v.classes[list[0]]; c != nil {
		kind = c.share(now)
	}
	for i, k := range list[1:] {
		c := v.classes[k]
		if c == nil {
			continue
		}
		least := minServed
		if i == 0 {
			least = max(least, sizeShare*kind)
		}
		// The next request must be due: its class has asked often enough for one more.
		asked, admitted := c.asked.Value(now)*float64(rankSpan), c.admitted.Value(now)*float64(rankSpan)
		if !counted {
			asked++
		}
		if least*asked >= admitted+1 {
			return true
		}
	}
	return false
}

// count counts a request in its classes. Its session is counted in a shortage only.
func (v *service) count(now clock.Millis, r Request, isNew, admitted, short bool) {
	limit := maxClasses
	for i, k := range v.classesOf(r) {
		if i == sessionClass {
			if !short {
				break
			}
			limit = maxSessions
		}
		c := v.classes[k]
		if c == nil {
			if len(v.classes) >= limit {
				continue
			}
			c = &count{asked: averager.Rate{Span: rankSpan}, admitted: averager.Rate{Span: rankSpan}}
			v.classes[k] = c
		}
		if isNew {
			c.asked.Add(now, 1)
		}
		if admitted {
			c.admitted.Add(now, 1)
		}
	}
}

// recentSizes is the number of requests of a kind from which the deciles are taken.
const recentSizes = 100

// sizes holds the sizes of recent requests of a kind.
type sizes struct {
	recent []float64
	next   int
}

func (z *sizes) add(size float64) {
	if len(z.recent) < recentSizes {
		z.recent = append(z.recent, size)
		return
	}
	z.recent[z.next] = size
	z.next = (z.next + 1) % recentSizes
}

// decile returns the decile of a size among the recent ones, "0" to "9". It is "0" if
// there are none.
func (z *sizes) decile(size float64) string {
	if z == nil {
		return "0"
	}
	smaller := 0
	for _, s := range z.recent {
		if s < size {
			smaller++
		}
	}
	return string(rune('0' + min(9, 10*smaller/max(1, len(z.recent)))))
}

// record counts a request as demand of its workspace, which it returns. One that returns
// has been counted before.
func (v *service) record(now clock.Millis, r Request, returns bool) *workspace {
	w := v.workspaces[r.Workspace]
	if w == nil {
		w = &workspace{demand: averager.Rate{Span: rateSpan}}
		// Without a random start, the first requests of all workspaces would be
		// refused on every instance at the same time.
		w.credit = float64(matcher.Hash("credit", r.Workspace)^r.ID) / math.MaxUint64
		v.workspaces[r.Workspace] = w
	}
	if v.sizes[r.Kind] == nil {
		v.sizes[r.Kind] = &sizes{}
	}
	if returns {
		return w
	}
	w.demand.Add(now, r.Work)
	w.addRank(now, r.Rank, r.Work)
	v.sizes[r.Kind].add(r.Size)
	if v.meanWork == 0 {
		v.meanWork = r.Work
	}
	v.meanWork += (r.Work - v.meanWork) / 32
	return w
}

// rankPosition returns the number of more urgent ranks, and that of all.
func (v *service) rankPosition(rank int) (before, all int) {
	var ranks []int
	for _, w := range v.workspaces {
		for _, k := range w.ranks {
			if !slices.Contains(ranks, k.rank) {
				ranks = append(ranks, k.rank)
			}
		}
	}
	for _, k := range ranks {
		if k < rank {
			before++
		}
	}
	return before, max(1, len(ranks))
}

// sweep removes what has not been asked for recently.
func (v *service) sweep(now clock.Millis) {
	for name, w := range v.workspaces {
		if now-w.demand.At() > 2*rankSpan {
			delete(v.workspaces, name)
		}
	}
	for k, c := range v.classes {
		if now-c.asked.At() > 2*rankSpan {
			delete(v.classes, k)
		}
	}
	for kind, c := range v.controls {
		if now-max(c.at, c.excessAt) > 2*rankSpan {
			delete(v.controls, kind)
		}
	}
}
