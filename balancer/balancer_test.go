package balancer

import (
	"fmt"
	"testing"
)

func candidates(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{ID: fmt.Sprint("e", i), Slots: 64, Near: true}
	}
	return list
}

// prompt is a long prompt of which almost half is shared.
var prompt = Query{Subject: "topic", Prompt: 600, Shared: 270, Distance: 350}

// Guards against choices that ignore load, cache or distance.
func TestPick(t *testing.T) {
	b := Default()
	home := b.Pick(prompt, candidates(5), "")
	other := (home + 1) % 5
	tests := map[string]struct {
		change func(c []Candidate)
		want   func(i int) bool
	}{
		"subject's own":         {func([]Candidate) {}, func(i int) bool { return i == home }},
		"own one a little busy": {func(c []Candidate) { c[home].Work = 60 }, func(i int) bool { return i == home }},
		"own one very busy":     {func(c []Candidate) { c[home].Work = 900 }, func(i int) bool { return i != home }},
		"own one full":          {func(c []Candidate) { c[home].Running = 80 }, func(i int) bool { return i != home }},
		"cached elsewhere, busy": {
			func(c []Candidate) { c[home].Work = 400; c[other].Cached = true },
			func(i int) bool { return i == other },
		},
		"far is not worth it": {
			func(c []Candidate) { c[other].Near = false; c[home].Work = 100 },
			func(i int) bool { return i != other },
		},
		"far is worth it": {func(c []Candidate) {
			for i := range c {
				c[i].Work = 2500
			}
			c[other].Work, c[other].Near = 0, false
		}, func(i int) bool { return i == other }},
		// Reading 189 ms of shared tokens again delays all that come after.
		"far and idle is not worth a cache": {func(c []Candidate) {
			for i := range c {
				c[i].Work = 900
			}
			c[other].Work, c[other].Near = 0, false
		}, func(i int) bool { return i == home }},
		"failed lately": {func(c []Candidate) { c[home].Penalty = 35000 }, func(i int) bool { return i != home }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			list := candidates(5)
			tt.change(list)
			if got := b.Pick(prompt, list, ""); got < 0 || !tt.want(got) {
				t.Errorf("got %d, own one is %d", got, home)
			}
		})
	}
	if got := b.Pick(prompt, nil, ""); got != -1 {
		t.Errorf("no candidates: got %d, want -1", got)
	}
}

// Guards against caches that are filled anew when an endpoint joins or leaves:
// only the subjects of that endpoint move.
func TestStableUnderChange(t *testing.T) {
	b := Default()
	all := candidates(10)
	moved := 0
	for i := range 1000 {
		q := prompt
		q.Subject = fmt.Sprint("topic-", i)
		before := all[b.Pick(q, all, "")].ID
		after := all[:9][b.Pick(q, all[:9], "")].ID
		if before != after && before != "e9" {
			moved++
		}
	}
	if moved != 0 {
		t.Errorf("%d subjects moved that did not belong to the endpoint that left", moved)
	}
}

// Guards against one endpoint that takes all of a hot subject: pattern "one key
// gets much of the traffic".
func TestHotSubjectSpreads(t *testing.T) {
	b := Default()
	list := candidates(5)
	counts := make([]int, len(list))
	for range 200 {
		i := b.Pick(prompt, list, "")
		counts[i]++
		// One prompt is read in each 100 ms of every endpoint.
		list[i].Work += prompt.Prompt - prompt.Shared
		list[i].Cached = true
		for j := range list {
			list[j].Work = max(0, list[j].Work-100)
		}
	}
	for i, n := range counts {
		if n > 100 {
			t.Errorf("endpoint %d got %d of 200 requests", i, n)
		}
	}
}

// Guards against queues at a few endpoints while others are idle: patterns "a
// data centre is emptied", where all endpoints are far, and "a quarter of the
// engines crashes", at four fifths of what the rest can do. Each endpoint reads
// one ms of prompts in a ms.
func TestLossSpreads(t *testing.T) {
	tests := map[string]func(list []Candidate) []Candidate{
		"emptied data centre": func(list []Candidate) []Candidate {
			for i := range list {
				list[i].Near = false
			}
			return list[:45]
		},
		"crash of a quarter": func(list []Candidate) []Candidate {
			for i := range list {
				list[i].Near = i%4 == 0
			}
			return list[:45]
		},
		"no near endpoint left": func(list []Candidate) []Candidate {
			for i := range list {
				list[i].Near = i >= 45
			}
			return list[:45]
		},
	}
	for name, loss := range tests {
		t.Run(name, func(t *testing.T) {
			b, list := Default(), loss(candidates(60))
			const requests, load = 4000, 0.8
			q := Query{Prompt: 60, Shared: 26, Distance: 350}
			step := q.Prompt / (load * float64(len(list)))
			late := 0
			for k := range requests {
				q.Subject = fmt.Sprint("topic-", k*7919%573)
				i := b.Pick(q, list, fmt.Sprint(k))
				if list[i].Work > 1500 {
					late++
				}
				list[i].Work += q.Prompt
				for j := range list {
					list[j].Work = max(0, list[j].Work-step)
				}
			}
			// 1.5 s is the target of short prompts.
			if late > 0 {
				t.Errorf("%d of %d requests wait more than 1.5 s at 0.8 of the capacity", late, requests)
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	list := candidates(20)
	d := Default()
	b.ReportAllocs()
	for b.Loop() {
		d.Pick(prompt, list, "")
	}
}
