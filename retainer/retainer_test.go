package retainer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/watcher"
)

// object returns an object; text is NAME:SPEC.
func object(era int64, text string) watcher.Object {
	name, spec, _ := strings.Cut(text, ":")
	return watcher.Object{Name: name, Era: era, Revision: 7, Spec: []byte(spec)}
}

func deleted(era int64, name string) watcher.Object {
	return watcher.Object{Name: name, Era: era, Deleted: true}
}

func objects(era int64, texts ...string) []watcher.Object {
	var list []watcher.Object
	for _, text := range texts {
		list = append(list, object(era, text))
	}
	return list
}

// judgeNumbers takes specs for numbers that increase with each change.
func judgeNumbers(known, shown watcher.Object) Verdict {
	k, _ := strconv.Atoi(string(known.Spec))
	s, _ := strconv.Atoi(string(shown.Spec))
	switch {
	case s < k:
		return Older
	case s > k:
		return Later
	}
	return Same
}

// step is one call of a Retainer, and what counts afterwards.
type step struct {
	at     clock.Millis
	call   func(r *Retainer)
	counts string // names and specs, ordered by name
}

func replace(era int64, texts ...string) func(r *Retainer) {
	return func(r *Retainer) { r.Replace(objects(era, texts...)) }
}

func change(era int64, text string) func(r *Retainer) {
	return func(r *Retainer) { r.Change(object(era, text)) }
}

func remove(era int64, name string) func(r *Retainer) {
	return func(r *Retainer) { r.Change(deleted(era, name)) }
}

func begin(r *Retainer) { r.BeginEra(2) }

func release(r *Retainer) { r.Release() }

// Guards against a program that steps back to the older copy from which a store
// has come back, that drops what the copy lacks before its author has written it
// again, or that keeps what its author does not write again.
func TestWhatCounts(t *testing.T) {
	tests := map[string]struct {
		judge func(known, shown watcher.Object) Verdict
		steps []step
	}{
		"one era": {nil, []step{
			{1, replace(1, "a:1", "b:1"), "a:1 b:1"}, {2, change(1, "a:2"), "a:2 b:1"},
			{3, remove(1, "b"), "a:2"}, {4, replace(1, "c:1"), "c:1"}, {5, change(1, "a:1"), "a:1 c:1"},
		}},
		"missing, written again": {nil, []step{
			{1, replace(1, "a:1"), "a:1"}, {5000, begin, "a:1"}, {5001, replace(2), "a:1"},
			{6000, change(2, "a:1"), "a:1"}, {7300, release, "a:1"},
		}},
		"missing, not written again": {nil, []step{
			{1, replace(1, "a:1"), "a:1"}, {5000, begin, "a:1"}, {5001, replace(2), "a:1"},
			{7100, release, "a:1"}, {7200, release, ""},
		}},
		"missing, listed a second time": {nil, []step{
			{1, replace(1, "a:1"), "a:1"}, {5000, begin, "a:1"}, {5001, replace(2), "a:1"},
			{5500, replace(2), "a:1"}, {7200, release, ""},
		}},
		"different, written again": {nil, []step{
			{1, replace(1, "a:2"), "a:2"}, {5000, begin, "a:2"}, {5001, replace(2, "a:1"), "a:2"},
			{6000, change(2, "a:2"), "a:2"}, {7300, release, "a:2"},
		}},
		"different, not written again": {nil, []step{
			{1, replace(1, "a:2"), "a:2"}, {5000, begin, "a:2"}, {5001, replace(2, "a:1"), "a:2"},
			{7300, release, "a:1"},
		}},
		"changed in the new era": {nil, []step{
			{1, replace(1, "a:2"), "a:2"}, {5000, begin, "a:2"}, {5001, replace(2, "a:1"), "a:2"},
			{5100, change(2, "a:3"), "a:3"}, {7300, release, "a:3"},
		}},
		"deleted in the new era": {nil, []step{
			{1, replace(1, "a:2"), "a:2"}, {5000, begin, "a:2"}, {5001, replace(2, "a:1"), "a:2"},
			{5100, remove(2, "a"), ""}, {7300, release, ""},
		}},
		"removed before, in the copy": {nil, []step{
			{1, replace(1, "a:1"), "a:1"}, {4000, remove(1, "a"), ""}, {5000, begin, ""},
			{5001, replace(2, "a:1"), ""}, {7300, release, ""}, {13000, release, "a:1"},
		}},
		"removed before, removed again": {nil, []step{
			{1, replace(1, "a:1"), "a:1"}, {4000, remove(1, "a"), ""}, {5000, begin, ""},
			{5001, replace(2, "a:1"), ""}, {7000, remove(2, "a"), ""}, {13000, release, ""},
		}},
		"removed before, created again": {nil, []step{
			{1, replace(1, "a:1"), "a:1"}, {4000, remove(1, "a"), ""}, {5000, begin, ""},
			{5001, replace(2), ""}, {5100, change(2, "a:1"), "a:1"},
		}},
		"unknown before": {nil, []step{
			{1, replace(1), ""}, {5000, begin, ""}, {5001, replace(2, "a:1"), "a:1"},
		}},
		"older content": {judgeNumbers, []step{
			{1, replace(1, "a:5"), "a:5"}, {5000, begin, "a:5"}, {5001, replace(2, "a:3"), "a:5"},
			{6000, change(2, "a:4"), "a:5"}, {20000, release, "a:5"}, {20001, change(2, "a:6"), "a:6"},
		}},
		"later content": {judgeNumbers, []step{
			{1, replace(1, "a:5"), "a:5"}, {5000, begin, "a:5"}, {5001, replace(2, "a:6"), "a:6"},
		}},
		"removed, older content": {judgeNumbers, []step{
			{1, replace(1, "a:5"), "a:5"}, {4000, remove(1, "a"), ""}, {5000, begin, ""},
			{5001, replace(2, "a:4"), ""}, {5100, change(2, "a:4"), ""}, {5200, change(2, "a:6"), "a:6"},
		}},
		"listed in the new era, then missing": {nil, []step{
			{1, replace(1, "a:1"), "a:1"}, {5000, begin, "a:1"}, {5001, replace(2, "a:1"), "a:1"},
			{9000, replace(2), ""}, {9001, replace(2, "a:1"), "a:1"},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := clock.NewManual(0)
			counting := map[string]string{}
			r := New(Options{
				Clock: now.Clock(), Judge: tt.judge,
				Replace: func(list []watcher.Object) {
					clear(counting)
					for _, o := range list {
						counting[o.Name] = string(o.Spec)
					}
				},
				Change: func(o watcher.Object) {
					counting[o.Name] = string(o.Spec)
					if o.Deleted {
						delete(counting, o.Name)
					}
				},
			})
			for i, s := range tt.steps {
				now.Advance(s.at - now.Now())
				s.call(r)
				var list []string
				for n, spec := range counting {
					list = append(list, fmt.Sprintf("%s:%s", n, spec))
				}
				slices.Sort(list)
				if got := strings.Join(list, " "); got != s.counts {
					t.Fatalf("step %d: got %q, want %q", i, got, s.counts)
				}
			}
		})
	}
}

// Guards against a confirmation by a store that is known to show an older state.
func TestBehind(t *testing.T) {
	now := clock.NewManual(0)
	r := New(Options{
		Clock: now.Clock(), Judge: judgeNumbers,
		Replace: func([]watcher.Object) {}, Change: func(watcher.Object) {},
	})
	for i, tt := range []struct {
		call   func(r *Retainer)
		behind bool
	}{
		{replace(1, "a:5"), false},
		{begin, false},
		{replace(2, "a:3"), true},
		{change(2, "a:4"), true},
		{change(2, "a:5"), false},
	} {
		tt.call(r)
		if got := r.Behind(); got != tt.behind {
			t.Errorf("step %d: got %v, want %v", i, got, tt.behind)
		}
	}
}
