package soaker

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
)

// TestCheck guards against a check that cannot fail: each kind of violation must be
// reported, and what the guarantees allow must not be.
func TestCheck(t *testing.T) {
	good := request{
		id: "x", kind: matcher.Unsafe, method: "POST", target: "/book/x?n=1", body: "b", key: "k", sent: 10000,
	}
	goodExecution := execution{
		id: "x", endpoint: "i-1", method: "POST", target: "/book/x?n=1", body: "b", workspace: workspace, at: 10010,
	}
	goodAnswer := answer{id: "x", instance: "a", status: 200, signature: "signed x", ended: 10050}
	tests := map[string]struct {
		change func(q *request, a *answer, r *[]execution, k *key, c *checker)
		want   string // first word of the only violation; empty: none
	}{
		"no violation": {func(*request, *answer, *[]execution, *key, *checker) {}, ""},
		"two executions": {func(_ *request, _ *answer, r *[]execution, _ *key, _ *checker) {
			*r = append(*r, goodExecution)
		}, "TWICE"},
		"two executions of a safe request": {func(q *request, _ *answer, r *[]execution, _ *key, _ *checker) {
			q.kind = matcher.Safe
			*r = append(*r, goodExecution)
		}, ""},
		"refused but executed": {func(_ *request, a *answer, _ *[]execution, _ *key, _ *checker) {
			a.status = 503
		}, "REFUSED"},
		"refused and not executed": {func(_ *request, a *answer, r *[]execution, _ *key, _ *checker) {
			a.status, *r = 503, nil
		}, ""},
		"failed and executed": {func(_ *request, a *answer, _ *[]execution, _ *key, _ *checker) { a.status = 502 }, ""},
		"no signature": {func(_ *request, a *answer, _ *[]execution, _ *key, _ *checker) {
			a.signature = ""
		}, "MIXED"},
		"another answer": {func(_ *request, a *answer, _ *[]execution, _ *key, _ *checker) {
			a.problem = "body of 3 bytes"
		}, "MIXED"},
		"changed body": {func(_ *request, _ *answer, r *[]execution, _ *key, _ *checker) {
			(*r)[0].body = "c"
		}, "UNASKED"},
		"key forwarded to the endpoint": {func(_ *request, _ *answer, r *[]execution, _ *key, _ *checker) {
			(*r)[0].key = "k"
		}, "UNASKED"},
		"execution of an unknown request": {func(_ *request, _ *answer, r *[]execution, _ *key, _ *checker) {
			(*r)[0].id = "y"
		}, "UNASKED"},
		"key revoked before the limit": {func(_ *request, _ *answer, _ *[]execution, k *key, _ *checker) {
			k.revoking, k.revoked = 4000, 4900
		}, "CONFIG"},
		"key revoked within the limit": {func(_ *request, _ *answer, _ *[]execution, k *key, _ *checker) {
			k.revoking, k.revoked = 5000, 5100
		}, ""},
		"valid key refused": {func(_ *request, a *answer, r *[]execution, _ *key, _ *checker) {
			a.status, *r = 401, nil
		}, "DENIED"},
		"new key refused": {func(_ *request, a *answer, r *[]execution, k *key, _ *checker) {
			a.status, *r, k.added = 401, nil, 9000
		}, ""},
		"unknown route": {func(_ *request, a *answer, r *[]execution, _ *key, _ *checker) {
			a.status, *r = 404, nil
		}, "DENIED"},
		"leaving endpoint": {func(_ *request, _ *answer, r *[]execution, _ *key, _ *checker) {
			(*r)[0].drainedAt = 7000
		}, "DRAIN"},
		"leaving endpoint, after a fault": {func(_ *request, _ *answer, r *[]execution, _ *key, c *checker) {
			(*r)[0].drainedAt = 7000
			c.faultPeriods = []*faultPeriod{{from: 6000, to: 8000}}
		}, ""},
		"cut without a fault": {func(_ *request, a *answer, _ *[]execution, _ *key, _ *checker) {
			a.status, a.err = 0, io.ErrUnexpectedEOF
		}, "LOST"},
		"cut during a planned stop": {func(_ *request, a *answer, _ *[]execution, _ *key, c *checker) {
			a.status, a.err = 0, io.ErrUnexpectedEOF
			c.faultPeriods = []*faultPeriod{{from: 9900, planned: true}}
		}, "LOST"},
		"cut during a kill": {func(_ *request, a *answer, _ *[]execution, _ *key, c *checker) {
			a.status, a.err = 0, io.ErrUnexpectedEOF
			c.faultPeriods = []*faultPeriod{{from: 9900}}
		}, ""},
		"three late arrivals":              {addPrompts(5, 3, 20, 20, faultPeriod{}), ""},
		"four late arrivals":               {addPrompts(5, 4, 20, 20, faultPeriod{}), "CRASH"},
		"four crashes":                     {addPrompts(4, 9, 0, 30, faultPeriod{}), ""},
		"instance paused before":           {addPrompts(5, 4, 0, 0, faultPeriod{to: 10500, instance: "i"}), ""},
		"instance paused long before":      {addPrompts(5, 4, 0, 0, faultPeriod{to: 10499, instance: "i"}), "CRASH"},
		"another instance paused":          {addPrompts(5, 4, 0, 0, faultPeriod{instance: "j"}), "CRASH"},
		"half as many served":              {addPrompts(5, 0, 10, 20, faultPeriod{to: 100}), ""},
		"fewer served":                     {addPrompts(5, 0, 9, 20, faultPeriod{to: 100}), "SOUND"},
		"fewer served, too few requests":   {addPrompts(5, 0, 0, 19, faultPeriod{to: 100}), ""},
		"fewer served during other faults": {addPrompts(5, 0, 9, 20, faultPeriod{from: 16600}), ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChecker(clock.System())
			c.start = 0
			q, a, executions, k := good, goodAnswer, []execution{goodExecution}, key{text: "k", added: 1}
			tt.change(&q, &a, &executions, &k, c)
			c.keyState = func(string) key { return k }
			c.recordRequest(q)
			c.recordAnswer(a)
			for _, r := range executions {
				c.recordExecution(r)
			}
			_, _, got := c.check(20000)
			got = without(got, "SERVED")
			if tt.want == "" && len(got) > 0 || tt.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0], tt.want)) {
				t.Errorf("violations: got %v, want %q", got, tt.want)
			}
		})
	}
}

// addPrompts returns a function that adds the given numbers of crashes by prompts, the
// fifth at 10,500 ms, of late arrivals of such prompts from the instance i, and of
// sound requests after and during the crashes, and another fault.
func addPrompts(crashes, late, served, sent int, other faultPeriod) func(
	*request, *answer, *[]execution, *key, *checker,
) {
	return func(_ *request, _ *answer, _ *[]execution, _ *key, c *checker) {
		c.faultPeriods = []*faultPeriod{{from: 10000, to: 20000, prompts: true}, &other}
		for i := range crashes {
			c.crashes = append(c.crashes, execution{at: clock.Millis(10100 + 100*i)})
		}
		c.recordRequest(request{id: "crash", kind: matcher.Stream, crashes: true, sent: 13000, instance: "i"})
		c.arrivals = append(slices.Repeat([]execution{{id: "crash", at: 13500}}, late), execution{id: "crash", at: 13499})
		for i := range 20 + sent {
			q := request{id: fmt.Sprint(i), kind: matcher.Stream, sent: 5000}
			a := answer{id: q.id, status: 200, signature: "signed " + q.id}
			if i >= 20 {
				q.sent = 16500
			}
			if i >= 20+served {
				a.status = 503
			}
			a.ended = q.sent + 100
			c.recordRequest(q)
			c.recordAnswer(a)
		}
	}
}

// without returns the elements of list that do not start with prefix.
func without(list []string, prefix string) []string {
	var kept []string
	for _, v := range list {
		if !strings.HasPrefix(v, prefix) {
			kept = append(kept, v)
		}
	}
	return kept
}

// TestCheckRecovery guards against a service that does not recover after the faults.
func TestCheckRecovery(t *testing.T) {
	for name, tt := range map[string]struct {
		succeeded, sent int
		want            bool // a violation
	}{
		"no request": {0, 0, true}, "all": {20, 20, false}, "nine in ten": {18, 20, false}, "fewer": {17, 20, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newChecker(clock.System())
			for i := range tt.sent {
				q := request{id: string(rune('a' + i)), kind: matcher.Safe, sent: 5000}
				a := answer{id: q.id, status: 502}
				if i < tt.succeeded {
					a.status, a.signature = 200, "signed "+q.id
				}
				c.recordRequest(q)
				c.recordAnswer(a)
			}
			_, _, got := c.check(4000)
			if (len(got) > 0) != tt.want {
				t.Errorf("violations: got %v, want some: %v", got, tt.want)
			}
		})
	}
}
