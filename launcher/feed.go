package launcher

import (
	"context"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/beater"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/recorder"
	"rosemaryarch.example/rosemaryarch/relayer"
	"rosemaryarch.example/rosemaryarch/watcher"
)

const (
	// joinWait is how long a process that starts waits for neighbours before it
	// reads the store itself.
	joinWait = 250 * clock.Millis(1)
	// firstJoinWait is the same where all instances start together and the
	// list of instances fills meanwhile.
	firstJoinWait = 1200 * clock.Millis(1)
	// readerTurn is the head start of each instance of a data centre over the
	// next one when none of them reads the store; maxReaderTurns bounds it.
	readerTurn     = 250 * clock.Millis(1)
	maxReaderTurns = 6
	// urgentRead is how long an instance tries to read the store itself after a
	// feed has failed, before it follows another one.
	urgentRead = 2 * clock.Second
	// settleFeeds is how long an instance that does reach the store goes on
	// reading it: other neighbours that are cut off, too, still count as alive
	// and feeding for some seconds.
	settleFeeds = 3 * clock.Second
	// minFeedBound is above the time between two confirmations of a reader, one
	// second and the answer of a slow store.
	minFeedBound = 1500 * clock.Millis(1)
	// readTime is kept of the bound on configurations for the turn of an instance
	// and for reading the store.
	readTime = 700 * clock.Millis(1)
	// firstReaders instances of a data centre read the store at once after a
	// feed has failed, nextReaders wait for half of the last turn, the others for
	// all of it. If the first ones succeed, the others follow them: without turns
	// each instance of a large data centre makes all its lists anew.
	firstReaders = 3
	nextReaders  = 6
	// lastTurn is the longest turn: a connection to the store, a list of each kind
	// and the message that an instance feeds others fit into it.
	lastTurn = 400 * clock.Millis(1)
	// directTime is the part of readTime for the reading alone: a connection to
	// the store and the lists.
	directTime = 300 * clock.Millis(1)
	// nearPoll and farPoll are the longest pauses between two calls to a store
	// that does not answer, of the first readers and of the others, which hear
	// of its return from them.
	nearPoll = 600 * clock.Millis(1)
	farPoll  = 2 * clock.Second
	// avoidFeed is how long a neighbour whose feed failed is left alone.
	avoidFeed = 3 * clock.Second
)

func (l *Launcher) kindNames() []string {
	var names []string
	for _, k := range l.kinds() {
		names = append(names, k.Name)
	}
	return names
}

// feedingKinds returns the kinds with their changes also going to the hub.
func (l *Launcher) feedingKinds() []watcher.Kind {
	list := l.kinds()
	for i, k := range list {
		list[i].Replace = func(objects []watcher.Object) {
			k.Replace(objects)
			l.hub.Replace(k.Name, objects)
		}
		list[i].Change = func(o watcher.Object) {
			k.Change(o)
			l.hub.Change(k.Name, o)
		}
	}
	return list
}

// role decides where this instance reads: from the first of its neighbours
// that feeds others, or from the store if there is none before it.
func (l *Launcher) role() watcher.Role {
	now := l.clock.Now()
	members := l.beater.Members()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chooseRole(now, members)
}

func (l *Launcher) chooseRole(now clock.Millis, members []beater.Member) watcher.Role {
	if reading := l.hub.Ready() && l.watcher.Up(); reading && now < l.urgent {
		return watcher.Role{Direct: true}
	}
	if now < l.urgent-settleFeeds {
		return l.urgentRole(now, members)
	}
	position := 0
	for _, m := range members {
		if m.DataCentre != l.settings.DataCentre {
			continue
		}
		if m.Name == l.settings.Instance {
			if l.hub.Open() && l.watcher.Up() {
				return watcher.Role{Direct: true}
			}
			continue
		}
		if m.Feeds && now-l.avoided[m.Name] >= avoidFeed {
			l.feedless = 0
			return watcher.Role{Feed: m.Beat}
		}
		if m.Name < l.settings.Instance {
			position++
		}
	}
	if l.hub.Open() {
		return watcher.Role{Direct: true}
	}
	if l.feedless == 0 {
		l.feedless = now
	}
	join := joinWait
	if l.settings.FirstStart {
		join = firstJoinWait
	}
	due := max(l.started+join, l.feedless) + clock.Millis(min(position, maxReaderTurns))*readerTurn
	return watcher.Role{Direct: now >= due}
}

// urgentRole decides where this instance reads after its feed has failed: from
// a neighbour that has told since then that it feeds, or, when its turn has
// come, from the store. An earlier message may be of a neighbour that is cut
// off, too. The lock is held.
func (l *Launcher) urgentRole(now clock.Millis, members []beater.Member) watcher.Role {
	waited := now - (l.urgent - settleFeeds - urgentRead)
	for _, m := range members {
		if l.neighbour(now, m) && m.Feeds && clock.Millis(m.Age) < waited {
			return watcher.Role{Feed: m.Beat}
		}
	}
	return watcher.Role{Direct: waited >= l.readTurn(l.position(now, members))}
}

// neighbour reports whether m is another instance of the data centre, whose
// feed has not failed lately. The lock is held.
func (l *Launcher) neighbour(now clock.Millis, m beater.Member) bool {
	return m.DataCentre == l.settings.DataCentre && m.Name != l.settings.Instance && now-l.avoided[m.Name] >= avoidFeed
}

// position returns the number of neighbours before this instance. The lock is
// held.
func (l *Launcher) position(now clock.Millis, members []beater.Member) int {
	n := 0
	for _, m := range members {
		if m.Name < l.settings.Instance && l.neighbour(now, m) {
			n++
		}
	}
	return n
}

// readTurn returns how long an instance waits for another one's feed before it
// reads the store itself.
func (l *Launcher) readTurn(position int) clock.Millis {
	last := min(lastTurn, max(0, clock.Millis(l.bounds.Load().ConfigApplyMs)-l.feedBound()-directTime))
	switch {
	case position < firstReaders:
		return 0
	case position < firstReaders+nextReaders:
		return last / 2
	}
	return last
}

// poll returns the longest pause between two calls to a store that does not
// answer.
func (l *Launcher) poll() clock.Millis {
	members := l.beater.Members()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.position(l.clock.Now(), members) < firstReaders {
		return nearPoll
	}
	return farPoll
}

// feedBound returns how long a feed is trusted without a new confirmation. What
// is left of the time within which a configuration has to be in force is for
// reading the store.
func (l *Launcher) feedBound() clock.Millis {
	return max(minFeedBound, clock.Millis(l.bounds.Load().ConfigApplyMs)-readTime)
}

func (l *Launcher) follow(ctx context.Context, address string) error {
	l.recorder.Keep("feed_followed", recorder.Text("address", address))
	kinds := make(map[string]watcher.Kind)
	for _, k := range l.kinds() {
		kinds[k.Name] = k
	}
	return relayer.Follow(ctx, l.clock, address, l.feedBound(), relayer.Sink{
		Replace: func(kind string, list []watcher.Object) {
			if k, ok := kinds[kind]; ok {
				k.Replace(list)
			}
		},
		Change: func(kind string, o watcher.Object) {
			if k, ok := kinds[kind]; ok {
				k.Change(o)
			}
		},
		Confirm:  l.watcher.Adopt,
		Returned: l.catalog.StoreReturned,
	})
}

func (l *Launcher) feedEnded(address string, err error) {
	text := "role changed"
	if err != nil {
		text = err.Error()
	}
	l.recorder.Keep("feed_ended", recorder.Text("address", address), recorder.Text("error", text))
	l.endFeed(l.clock.Now(), address, err, l.beater.Members())
}

// endFeed decides what the end of a feed means for the next role. A nil error
// tells that this instance ended it.
func (l *Launcher) endFeed(now clock.Millis, address string, err error, members []beater.Member) {
	switch {
	case err == nil:
	case errors.Is(err, relayer.ErrClosed):
		// Its state was confirmed until now: another reader's feed will do.
		l.avoid(now, address, members)
	default:
		l.distrust(now, address, members)
	}
}

// distrust makes this instance read the store at its turn after a feed has
// failed: it may have missed a change that has to be in force within seconds.
func (l *Launcher) distrust(now clock.Millis, address string, members []beater.Member) {
	l.avoid(now, address, members)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.urgent = now + urgentRead + settleFeeds
}

// avoid keeps this instance from following a neighbour for a while.
func (l *Launcher) avoid(now clock.Millis, address string, members []beater.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		if m.Beat == address {
			l.avoided[m.Name] = now
		}
	}
}

func (l *Launcher) readDirectly(direct bool) {
	l.hub.SetOpen(direct)
	l.recorder.Keep("store_read_directly", recorder.Text("direct", map[bool]string{true: "yes", false: "no"}[direct]))
	l.tellFeeds()
}

// tellFeeds tells the neighbours at once whether this instance feeds them: it
// does while it reads the store and is confirmed.
func (l *Launcher) tellFeeds() {
	feeds := l.hub.Ready() && !l.stopping.Load() && l.watcher.Up() &&
		l.clock.Now()-l.watcher.Confirmed() < readyAge
	if l.beater.SetFeeds(feeds) {
		l.beater.Announce()
	}
}
