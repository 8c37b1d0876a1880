package allocator

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/storer"
)

// drainedPrefix is where members that left gracefully record that they have no
// running requests. It must not start with Key and a slash, which the assignment
// does not use either.
const drainedPrefix = "permits_drained/"

// recordDrained tells the object API that this member has left.
func (a *Allocator) recordDrained() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	_, err := a.store.Put(ctx, drainedPrefix+a.self, []byte("{}"), 0)
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		klog.Warningf("allocator: the departure could not be recorded: %v", err)
	}
}

// readDrained reads which members have left, and removes the records of those
// that the assignment does not mention any more.
func (a *Allocator) readDrained(ctx context.Context, n permitter.Assignment) error {
	objects, err := a.store.List(ctx, drainedPrefix)
	if err != nil {
		return errors.Wrap(err, "allocator: read departures")
	}
	mentioned := append(slices.Clone(n.Members), n.Departed...)
	for _, generation := range n.Awaiting {
		mentioned = append(mentioned, generation...)
	}
	for _, o := range objects {
		name := strings.TrimPrefix(o.Key, drainedPrefix)
		if slices.Contains(mentioned, name) {
			a.noteDrained(name)
			continue
		}
		if err := a.store.Delete(ctx, o.Key, o.Version); err != nil {
			klog.V(1).Infof("allocator: remove departure of %s: %v", name, err)
		}
	}
	return nil
}

// gone returns the members of the awaited generations that can neither grant nor
// collect votes any more, which is what a vote for the new epoch proves of the
// others. They left gracefully, or another process of the same instance runs at
// their address: whoever asks there for a vote gets none in their name.
func (a *Allocator) gone(n permitter.Assignment, live []string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var found []string
	for _, generation := range n.Awaiting {
		for _, m := range generation {
			if slices.Contains(a.drained, m) || superseded(m, live) {
				found = append(found, m)
			}
		}
	}
	return found
}

// superseded reports whether another process of the member's instance is live.
func superseded(member string, live []string) bool {
	instance := member[:strings.LastIndex(member, "/")+1]
	return !slices.Contains(live, member) && slices.ContainsFunc(live, func(l string) bool {
		return strings.HasPrefix(l, instance) && strings.LastIndex(l, "/")+1 == len(instance)
	})
}
