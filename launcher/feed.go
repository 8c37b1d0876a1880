package launcher

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/heartbeater"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/relayer"
	"rosemaryarch.example/rosemaryarch/watcher"
)

const (
	// startWait is the time for which a starting instance waits for a neighbour's
	// feed before it reads the store itself.
	startWait = 250 * clock.Millis(1)
	// firstStartWait replaces startWait when all instances start together and
	// publish themselves in the store only now.
	firstStartWait = 1200 * clock.Millis(1)
	// If no instance of a data centre reads the store, the instances wait for their
	// turn to read it: readerTurn for each one before them by name, and lateReaderTurn
	// for each one after the first maxReaderTurns. The turns keep the instances of a
	// large data centre from reading thousands of endpoints at the same time.
	readerTurn     = 250 * clock.Millis(1)
	maxReaderTurns = 6
	lateReaderTurn = 50 * clock.Millis(1)
	// startOrderTime is the time after the start during which the order is that of the
	// known instances, because the live ones have not all been heard yet.
	startOrderTime = 1500 * clock.Millis(1)
	// directReadPeriod is the time during which an instance whose feed has failed
	// tries to read the store itself before it follows any other feed.
	directReadPeriod = 2 * clock.Second
	// feedSettleTime is the additional time during which an instance that has
	// reached the store continues to read it: neighbours that have lost the store
	// still count as alive and as offering a feed for some seconds.
	feedSettleTime = 3 * clock.Second
	// minFeedTimeout exceeds the time between two confirmations of a reader, which
	// is one second plus the response time of a slow store.
	minFeedTimeout = 1500 * clock.Millis(1)
	// storeReadReserve is the part of the bound on applying a configuration that is
	// reserved for the wait for the turn and for reading the store.
	storeReadReserve = 700 * clock.Millis(1)
	// After a feed has failed, the first firstReaders instances of a data centre
	// read the store at once, the next nextReaders wait for half of the longest
	// delay, and the others for all of it. If an earlier one succeeds, the later
	// ones follow it. Without the delays, each instance of a large data centre
	// would list all kinds again.
	firstReaders = 3
	nextReaders  = 6
	// maxReadTurn is the longest delay. It suffices to connect to the store, list
	// each kind and announce the feed to the neighbours.
	maxReadTurn = 400 * clock.Millis(1)
	// directReadTime is the part of storeReadReserve for reading alone: connecting
	// to the store and listing the kinds.
	directReadTime = 300 * clock.Millis(1)
	// The pause of the first readers between two calls to a store that does not
	// answer doubles from minBackoff to firstReaderBackoff. That of all others is
	// shorter than the time after a disruption from which the deployment's bounds
	// hold again.
	minBackoff          = 150 * clock.Millis(1)
	maxBackoffDoublings = 4
	firstReaderBackoff  = 600 * clock.Millis(1)
	nextReaderBackoff   = 2 * clock.Second
	otherReaderBackoff  = 4 * clock.Second
	// avoidPeriod is the time for which a neighbour whose feed has ended is not
	// followed.
	avoidPeriod = 3 * clock.Second
)

func (l *Launcher) kindNames() []string {
	var names []string
	for _, k := range l.kinds {
		names = append(names, k.Name)
	}
	return names
}

// role decides where this instance reads: from the feed of the first neighbour by
// name that offers one, or from the store if it already does so and no earlier
// neighbour offers a feed, or if none has for some time.
func (l *Launcher) role() watcher.Role {
	now := l.clock.Now()
	members := l.heartbeater.Members()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chooseRole(now, members)
}

// chooseRole implements role. The lock is held.
func (l *Launcher) chooseRole(now clock.Millis, members []heartbeater.Member) watcher.Role {
	if reading := l.hub.Ready() && l.watcher.StoreUp(); reading && now < l.directUntil {
		return watcher.Role{Direct: true}
	}
	if now < l.directUntil-feedSettleTime {
		return l.roleAfterFeedFailure(now, members)
	}
	for _, m := range members {
		if m.DataCentre != l.settings.DataCentre {
			continue
		}
		if m.Name == l.settings.Instance {
			// A neighbour that feeds knows the present state, which this instance may not
			// know until the era has settled.
			if l.hub.IsReading() && l.watcher.StoreUp() && l.settler.Settled(now) {
				return watcher.Role{Direct: true}
			}
			continue
		}
		if m.Feeds && now-l.avoidedAt[m.Name] >= avoidPeriod {
			l.noFeedSince = 0
			return watcher.Role{Feed: m.PeerAddress}
		}
	}
	if l.hub.IsReading() {
		return watcher.Role{Direct: true}
	}
	if l.noFeedSince == 0 {
		l.noFeedSince = now
	}
	startDelay := startWait
	if l.settings.FirstStart {
		startDelay = firstStartWait
	}
	due := max(l.startedAt+startDelay, l.noFeedSince) + readerDelay(l.knownPosition(now, members))
	return watcher.Role{Direct: now >= due}
}

// knownPosition returns the number of instances of this data centre before this
// one by name: of the live ones, or, shortly after the start, of the known ones.
// When all instances restart together, none has heard of another yet, and all would
// read the store at once. The lock is held.
func (l *Launcher) knownPosition(now clock.Millis, members []heartbeater.Member) int {
	if now-l.startedAt < startOrderTime {
		n, _ := slices.BinarySearch(l.heartbeater.InstancesIn(l.settings.DataCentre), l.settings.Instance)
		return n
	}
	n := 0
	for _, m := range members {
		if m.DataCentre == l.settings.DataCentre && m.Name < l.settings.Instance {
			n++
		}
	}
	return n
}

// readerDelay returns how long the instance at a position waits for a feed before
// it reads the store itself.
func readerDelay(position int) clock.Millis {
	late := max(0, position-maxReaderTurns)
	return clock.Millis(position-late)*readerTurn + clock.Millis(late)*lateReaderTurn
}

// roleAfterFeedFailure decides where this instance reads after its feed has
// failed: from a neighbour that has offered a feed since the failure, or from the
// store once it is this instance's turn. A neighbour whose last message is older
// may have lost the store too. The lock is held.
func (l *Launcher) roleAfterFeedFailure(now clock.Millis, members []heartbeater.Member) watcher.Role {
	waited := now - (l.directUntil - feedSettleTime - directReadPeriod)
	for _, m := range members {
		if l.isUsableNeighbour(now, m) && m.Feeds && clock.Millis(m.Age) < waited {
			return watcher.Role{Feed: m.PeerAddress}
		}
	}
	return watcher.Role{Direct: waited >= l.readTurn(l.position(now, members))}
}

// isUsableNeighbour reports whether m is another instance of the same data centre
// whose feed has not ended within avoidPeriod. The lock is held.
func (l *Launcher) isUsableNeighbour(now clock.Millis, m heartbeater.Member) bool {
	return m.DataCentre == l.settings.DataCentre && m.Name != l.settings.Instance && now-l.avoidedAt[m.Name] >= avoidPeriod
}

// position returns the number of usable neighbours before this instance by name.
// The lock is held.
func (l *Launcher) position(now clock.Millis, members []heartbeater.Member) int {
	n := 0
	for _, m := range members {
		if m.Name < l.settings.Instance && l.isUsableNeighbour(now, m) {
			n++
		}
	}
	return n
}

// readTurn returns how long the instance at a position waits for another one's
// feed before it reads the store itself.
func (l *Launcher) readTurn(position int) clock.Millis {
	last := min(maxReadTurn, max(0, clock.Millis(l.bounds.Load().ConfigApplyMs)-l.feedTimeout()-directReadTime))
	switch {
	case position < firstReaders:
		return 0
	case position < firstReaders+nextReaders:
		return last / 2
	}
	return last
}

// backoff returns the pause before the next call to a store that has not answered
// the given number of calls.
func (l *Launcher) backoff(failures int) clock.Millis {
	members := l.heartbeater.Members()
	l.mu.Lock()
	defer l.mu.Unlock()
	return storeBackoff(l.position(l.clock.Now(), members), failures)
}

// storeBackoff implements backoff for the instance at a position among those of
// its data centre that may feed the others. The first ones watch for the return of
// the store and feed the others when it answers. Refused calls are billed too, so
// an instance behind nextReaders makes only its first two calls at once. It needs
// no more: either the store has refused it alone and a neighbour feeds it, or the
// first ones will see the return.
func storeBackoff(position, failures int) clock.Millis {
	switch {
	case position < firstReaders:
		return min(firstReaderBackoff, minBackoff<<min(max(0, failures-2), maxBackoffDoublings))
	case position < firstReaders+nextReaders:
		return nextReaderBackoff
	}
	return otherReaderBackoff
}

// feedTimeout returns how long a feed is used without a new confirmation. The
// rest of the time within which a configuration must apply is for reading the
// store.
func (l *Launcher) feedTimeout() clock.Millis {
	return max(minFeedTimeout, clock.Millis(l.bounds.Load().ConfigApplyMs)-storeReadReserve)
}

func (l *Launcher) follow(ctx context.Context, address string) error {
	l.logger.LogUnlimited("feed_followed", logger.Text("address", address))
	kinds := make(map[string]watcher.Kind)
	for _, k := range l.kinds {
		kinds[k.Name] = k
	}
	return relayer.Follow(ctx, l.clock, address, l.feedTimeout(), relayer.Sink{
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
		Confirm:       l.watcher.RecordConfirmation,
		Era:           l.watcher.RecordEra,
		StoreRegained: l.catalog.StoreRegainedAt,
	})
}

func (l *Launcher) feedEnded(address string, err error) {
	text := "role changed"
	if err != nil {
		text = err.Error()
	}
	l.logger.LogUnlimited("feed_ended", logger.Text("address", address), logger.Text("error", text))
	l.handleFeedEnd(l.clock.Now(), address, err, l.heartbeater.Members())
}

// handleFeedEnd updates the state that determines the next role after a feed has
// ended. The error is nil if this instance ended it.
func (l *Launcher) handleFeedEnd(now clock.Millis, address string, err error, members []heartbeater.Member) {
	switch {
	case err == nil:
	case errors.Is(err, relayer.ErrClosed):
		// The feed was confirmed up to its end, so another feed can follow it.
		l.avoid(now, address, members)
	default:
		l.handleFeedFailure(now, address, members)
	}
}

// handleFeedFailure makes this instance read the store at its turn after a feed
// has failed, since it may have missed a change that must apply within seconds.
func (l *Launcher) handleFeedFailure(now clock.Millis, address string, members []heartbeater.Member) {
	l.avoid(now, address, members)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.directUntil = now + directReadPeriod + feedSettleTime
}

// avoid keeps this instance from following the neighbour at an address for
// avoidPeriod.
func (l *Launcher) avoid(now clock.Millis, address string, members []heartbeater.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		if m.PeerAddress == address {
			l.avoidedAt[m.Name] = now
		}
	}
}

func (l *Launcher) setReadingStore(direct bool) {
	l.hub.SetReading(direct)
	l.logger.LogUnlimited("store_read_directly", logger.Text("direct", map[bool]string{true: "yes", false: "no"}[direct]))
	l.announceFeeding()
}

// announceFeeding sends a heartbeat at once if this instance starts or stops
// offering a feed. It offers one while it reads the store, its state is recent
// and it is not stopping.
func (l *Launcher) announceFeeding() {
	feeds := l.hub.Ready() && !l.stopping.Load() && l.watcher.StoreUp() &&
		l.clock.Now()-l.watcher.Confirmed() < maxReadyAge
	if l.heartbeater.SetFeeds(feeds) {
		l.heartbeater.Announce()
	}
}
