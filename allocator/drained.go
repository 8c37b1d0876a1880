package allocator

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/storeclient"
)

// drainedPrefix is the prefix of the store keys under which members that left
// gracefully record that they have no running requests. It must not begin with
// Key followed by a slash; the assignment itself is stored under Key alone.
const drainedPrefix = "permits_drained/"

// storeDrained records in the object API that this member has left without running
// requests.
func (a *Allocator) storeDrained() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	_, err := a.store.Put(ctx, drainedPrefix+a.self, []byte("{}"), 0)
	if err != nil && !errors.Is(err, storeclient.ErrConflict) {
		klog.Warningf("allocator: record departure: %v", err)
	}
}

// loadDrained reads the records of members that have left, and deletes those of
// members that the assignment no longer references.
func (a *Allocator) loadDrained(ctx context.Context, n permitter.Assignment) error {
	objects, err := a.store.List(ctx, drainedPrefix)
	if err != nil {
		return errors.Wrap(err, "allocator: read departures")
	}
	referenced := append(slices.Clone(n.Members), n.Departed...)
	for _, epochMembers := range n.Awaiting {
		referenced = append(referenced, epochMembers...)
	}
	for _, o := range objects {
		name := strings.TrimPrefix(o.Key, drainedPrefix)
		if slices.Contains(referenced, name) {
			a.addDrained(name)
			continue
		}
		if err := a.store.Delete(ctx, o.Key, o.Version); err != nil {
			klog.V(1).Infof("allocator: delete the record of departed member %s: %v", name, err)
		}
	}
	return nil
}

// retired returns the members of the awaited epochs that can neither grant nor
// collect votes any more, so that they count like votes for the new epoch, which
// prove the same of other members. They left gracefully, or another process of the
// same instance runs at their address, which gives no vote in their name.
func (a *Allocator) retired(n permitter.Assignment, live []string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var retired []string
	for _, epochMembers := range n.Awaiting {
		for _, m := range epochMembers {
			if slices.Contains(a.drained, m) || superseded(m, live) {
				retired = append(retired, m)
			}
		}
	}
	return retired
}

// superseded reports whether the member is not live but another process of its
// instance is.
func superseded(member string, live []string) bool {
	instance := member[:strings.LastIndex(member, "/")+1]
	return !slices.Contains(live, member) && slices.ContainsFunc(live, func(l string) bool {
		return strings.HasPrefix(l, instance) && strings.LastIndex(l, "/")+1 == len(instance)
	})
}
