package soaker

import (
	"io"
	"strings"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// Guards against a check that cannot fail: each broken promise must be found,
// and what the promises allow must not be.
func TestJudge(t *testing.T) {
	good := request{
		id: "x", kind: matcher.Unsafe, method: "POST", target: "/book/x?n=1", body: "b", key: "k", sent: 10000,
	}
	goodRun := run{
		id: "x", endpoint: "i-1", method: "POST", target: "/book/x?n=1", body: "b", workspace: workspace, at: 10010,
	}
	goodAnswer := answer{id: "x", instance: "a", status: 200, signature: "signed x", ended: 10050}
	tests := map[string]struct {
		change func(q *request, a *answer, r *[]run, k *key, c *checker)
		want   string // first word of the only violation; empty: none
	}{
		"all well": {func(*request, *answer, *[]run, *key, *checker) {}, ""},
		"two runs": {func(_ *request, _ *answer, r *[]run, _ *key, _ *checker) {
			*r = append(*r, goodRun)
		}, "TWICE"},
		"two runs of a safe request": {func(q *request, _ *answer, r *[]run, _ *key, _ *checker) {
			q.kind = matcher.Safe
			*r = append(*r, goodRun)
		}, ""},
		"refused and run": {func(_ *request, a *answer, _ *[]run, _ *key, _ *checker) {
			a.status = 503
		}, "REFUSED"},
		"refused and not run": {func(_ *request, a *answer, r *[]run, _ *key, _ *checker) {
			a.status, *r = 503, nil
		}, ""},
		"failed and run": {func(_ *request, a *answer, _ *[]run, _ *key, _ *checker) { a.status = 502 }, ""},
		"no signature": {func(_ *request, a *answer, _ *[]run, _ *key, _ *checker) {
			a.signature = ""
		}, "MIXED"},
		"another answer": {func(_ *request, a *answer, _ *[]run, _ *key, _ *checker) {
			a.problem = "body of 3 bytes"
		}, "MIXED"},
		"changed body": {func(_ *request, _ *answer, r *[]run, _ *key, _ *checker) {
			(*r)[0].body = "c"
		}, "UNASKED"},
		"key passed on": {func(_ *request, _ *answer, r *[]run, _ *key, _ *checker) {
			(*r)[0].key = "k"
		}, "UNASKED"},
		"run that nobody sent": {func(_ *request, _ *answer, r *[]run, _ *key, _ *checker) {
			(*r)[0].id = "y"
		}, "UNASKED"},
		"key taken away long ago": {func(_ *request, _ *answer, _ *[]run, k *key, _ *checker) {
			k.revoking, k.revoked = 4000, 4900
		}, "CONFIG"},
		"key taken away lately": {func(_ *request, _ *answer, _ *[]run, k *key, _ *checker) {
			k.revoking, k.revoked = 5000, 5100
		}, ""},
		"key in force refused": {func(_ *request, a *answer, r *[]run, _ *key, _ *checker) {
			a.status, *r = 401, nil
		}, "DENIED"},
		"new key refused": {func(_ *request, a *answer, r *[]run, k *key, _ *checker) {
			a.status, *r, k.added = 401, nil, 9000
		}, ""},
		"unknown route": {func(_ *request, a *answer, r *[]run, _ *key, _ *checker) {
			a.status, *r = 404, nil
		}, "DENIED"},
		"leaving endpoint": {func(_ *request, _ *answer, r *[]run, _ *key, _ *checker) {
			(*r)[0].drained = 7000
		}, "DRAIN"},
		"leaving endpoint, pause": {func(_ *request, _ *answer, r *[]run, _ *key, c *checker) {
			(*r)[0].drained = 7000
			c.spans = []*span{{from: 6000, to: 8000}}
		}, ""},
		"cut in calm": {func(_ *request, a *answer, _ *[]run, _ *key, _ *checker) {
			a.status, a.err = 0, io.ErrUnexpectedEOF
		}, "LOST"},
		"cut beside a signal to stop": {func(_ *request, a *answer, _ *[]run, _ *key, c *checker) {
			a.status, a.err = 0, io.ErrUnexpectedEOF
			c.spans = []*span{{from: 9900, planned: true}}
		}, "LOST"},
		"cut beside a kill": {func(_ *request, a *answer, _ *[]run, _ *key, c *checker) {
			a.status, a.err = 0, io.ErrUnexpectedEOF
			c.spans = []*span{{from: 9900}}
		}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChecker(clock.System())
			c.begin = 0
			q, a, runs, k := good, goodAnswer, []run{goodRun}, key{text: "k", added: 1}
			tt.change(&q, &a, &runs, &k, c)
			c.key = func(string) key { return k }
			c.asked(q)
			c.answered(a)
			for _, r := range runs {
				c.ran(r)
			}
			_, _, got := c.judge(20000)
			got = without(got, "SERVED")
			if tt.want == "" && len(got) > 0 || tt.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0], tt.want)) {
				t.Errorf("violations: got %v, want %q", got, tt.want)
			}
		})
	}
}

func without(list []string, prefix string) []string {
	var kept []string
	for _, v := range list {
		if !strings.HasPrefix(v, prefix) {
			kept = append(kept, v)
		}
	}
	return kept
}

// Guards against a service that does not return after the faults.
func TestJudgeService(t *testing.T) {
	for name, tt := range map[string]struct {
		served, asked int
		want          bool // a violation
	}{
		"none asked": {0, 0, true}, "all": {20, 20, false}, "nine in ten": {18, 20, false}, "fewer": {17, 20, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newChecker(clock.System())
			for i := range tt.asked {
				q := request{id: string(rune('a' + i)), kind: matcher.Safe, sent: 5000}
				a := answer{id: q.id, status: 502}
				if i < tt.served {
					a.status, a.signature = 200, "signed "+q.id
				}
				c.asked(q)
				c.answered(a)
			}
			_, _, got := c.judge(4000)
			if (len(got) > 0) != tt.want {
				t.Errorf("violations: got %v, want some: %v", got, tt.want)
			}
		})
	}
}
