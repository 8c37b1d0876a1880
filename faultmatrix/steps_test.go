package faultmatrix

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// run is one execution of a step in a cell.
type run struct {
	x     *fleet
	f     fault
	began func()
	// failed are the parts of the step that did not succeed but ended in an
	// explicit, true error.
	mu     sync.Mutex
	failed []failure
}

// failure is a part of a step that ended in an explicit refusal.
type failure struct {
	reason refuser.Reason
	what   string
}

func (r *run) fail(reason refuser.Reason, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = append(r.failed, failure{reason, fmt.Sprintf(format, args...)})
}

// columns are the steps of the matrix.
func columns() map[string]func(r *run) {
	return map[string]func(r *run){
		"order": orderStep, "stream": streamStep, "session": sessionStep, "configuration": configurationStep,
		"data centre": dataCentreStep, "shutdown": shutdownStep,
	}
}

func (x *fleet) nextID(kind string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.requests++
	return fmt.Sprintf("%s-%d", kind, x.requests)
}

// chat sends a request of the given service and checks the answer.
func (r *run) chat(c chatCall) outcome {
	x := r.x
	c.id = x.nextID("r")
	c.prompt = strings.Repeat("The window is fogged. ", 8) + c.id
	service, _, _ := strings.Cut(c.model, ":")
	s, _ := x.parsed.Service(service)
	ctx, cancel := context.WithTimeout(context.Background(), s.DeadlineMS.Duration())
	defer cancel()
	o := x.caller.chat(ctx, c)
	for _, e := range o.refusals {
		if e.Reason == "" || !slices.Contains([]refuser.Execution{refuser.NotExecuted, refuser.Executed, refuser.ExecutionUnknown}, e.Run) {
			x.t.Errorf("I7: request %s got an untyped error %+v", c.id, e)
		}
	}
	if !o.whole {
		if o.last().Reason != refuser.ErrWithdrawn.Reason {
			r.fail(o.last().Reason, "request %s got no whole answer: %s", c.id, o.story())
		}
		return o
	}
	if !o.right(c.prompt) {
		x.t.Errorf("I7: request %s got a wrong answer from %s: %q", c.id, o.version, o.text)
	}
	model, _, _ := strings.Cut(o.version, "@")
	if w, _ := x.parsed.Workspace(workspace); !slices.Contains(w.Models, model) {
		x.t.Errorf("I1: request %s ran on %s", c.id, o.version)
	}
	x.mu.Lock()
	x.answered[workspace+"/"+c.id] = o.version
	x.mu.Unlock()
	return o
}

// orderStep delivers an order at two instances at once and again later.
func orderStep(r *run) {
	x, key := r.x, r.x.nextID("visit")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var results [3]order
	var open sync.WaitGroup
	for k := range 2 {
		open.Add(1)
		go func() {
			defer open.Done()
			results[k] = x.caller.book(ctx, key, x.address(victim+k))
		}()
	}
	r.began()
	open.Wait()
	later, cancelLater := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancelLater()
	results[2] = x.caller.book(later, key, x.address(2))
	confirmed, notRun, body := false, true, ""
	for k, o := range results {
		if o.whole {
			confirmed = true
			if body != "" && o.body != body {
				x.t.Errorf("I9: order %s was answered with %q and %q", key, body, o.body)
			}
			body = o.body
		} else {
			r.fail(o.last().Reason, "delivery %d of %s: %s", k+1, key, o.story())
		}
		notRun = notRun && !o.whole && !o.unknown && len(o.refusals) > 0
		for _, e := range o.refusals {
			notRun = notRun && e.Run == refuser.NotExecuted
		}
	}
	if !confirmed {
		r.fail(notConfirmed, "no delivery of %s was confirmed", key)
	}
	x.mu.Lock()
	x.orders[key] = confirmed
	if confirmed {
		x.answered[workspace+"/bookings/"+key] = ""
	}
	x.mu.Unlock()
	if runs := x.hoster.Platform.RunCount("bookings", workspace+"."+key); notRun && runs > 0 {
		x.t.Errorf("I8: order %s ran %d times after every answer said that it did not run", key, runs)
	}
}

// streamStep streams requests, half of them through the victim.
func streamStep(r *run) {
	var open sync.WaitGroup
	for k := range 6 {
		open.Add(1)
		go func() {
			defer open.Done()
			c := chatCall{model: []string{"answers", "answers:large"}[k%2]}
			if k < 3 {
				c.first = r.x.address(victim)
			}
			r.chat(c)
		}()
	}
	r.began()
	open.Wait()
}

// sessionStep sends the requests of one session to three instances: the second
// with the token, the third by the id alone.
func sessionStep(r *run) {
	x, id := r.x, r.x.nextID("session")
	first := r.chat(chatCall{model: "answers", session: id, first: x.address(victim)})
	r.began()
	time.Sleep(time.Second)
	second := r.chat(chatCall{model: "answers", session: id, token: first.token, first: x.address(1)})
	third := r.chat(chatCall{model: "answers", session: id, first: x.address(2)})
	if !first.whole || !second.whole || !third.whole {
		return
	}
	if second.version != first.version {
		x.t.Errorf("I3: the session moved from %s to %s with its token", first.version, second.version)
	}
	if third.version != first.version {
		r.fail("session_moved", "I3: the session moved from %s to %s without its token", first.version, third.version)
	}
}

// load sends requests of the given kind until it is stopped.
func (r *run) load(model string) (stop func()) {
	done := make(chan struct{})
	var open sync.WaitGroup
	open.Add(1)
	go func() {
		defer open.Done()
		for {
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
			}
			open.Add(1)
			go func() {
				defer open.Done()
				r.chat(chatCall{model: model})
			}()
		}
	}()
	return func() { close(done); open.Wait() }
}

// apply replaces the text, from whatever revision is in force.
func (r *run) apply(text string) (time.Time, bool) {
	return r.x.change("text", func(ctx context.Context, a administrator.Administrator, id string) error {
		// The same change again is answered by its id.
		c, err := a.Config(ctx, administrator.Empty{})
		if err == nil {
			_, err = a.Apply(ctx, administrator.ApplyCall{Text: text, FromRevision: c.Revision, ChangeID: id})
		}
		return err
	})
}

// effective checks that the newest accepted revision is in force everywhere.
func (r *run) effective(what string) {
	x := r.x
	except := map[int]bool{}
	if r.f.lost {
		except[victim] = true
	}
	revision := uint64(0)
	for k := range x.instances {
		if x.live(k) && !except[k] {
			if c, err := x.config(k); err == nil {
				revision = max(revision, c.Revision)
			}
		}
	}
	if !x.inForce(revision, except) {
		x.t.Errorf("I12: %s is not in force everywhere after %v: %s", what, inForceBound, x.behind(revision, except))
	}
}

// configurationStep withdraws a version under load and lets it serve again.
func configurationStep(r *run) {
	x := r.x
	stop := r.load("answers:small@v2")
	time.Sleep(500 * time.Millisecond)
	r.began()
	if at, ok := r.apply(twoVersions("withdrawn")); ok {
		r.effective("the withdrawal")
		time.Sleep(time.Until(at.Add(noWorkBound + 3*time.Second)))
		n, from := 0, clock.Millis(at.Add(noWorkBound).UnixMilli())
		for _, e := range x.hoster.Engines {
			n += e.ReceivedCount("small@v2", from)
		}
		if n > 0 {
			x.t.Errorf("I2: a withdrawn version got %d requests more than %v after its withdrawal", n, noWorkBound)
		}
	} else {
		r.fail(x.refused, "the withdrawal was not accepted")
	}
	stop()
	if _, ok := r.apply(x.text); ok {
		r.effective("the return of the version")
	} else {
		r.fail(x.refused, "the return of the version was not accepted")
	}
}

// removed is the instance whose data centre is taken out.
const removed = 1

func (r *run) setDataCentre(out bool) (time.Time, bool) {
	return r.x.change("data centre", func(ctx context.Context, a administrator.Administrator, id string) error {
		_, err := a.SetDataCentre(ctx, administrator.SetOutCall{Name: r.x.dataCentre(removed), Out: out, ChangeID: id})
		return err
	})
}

// dataCentreStep takes a data centre out under load and brings it back.
func dataCentreStep(r *run) {
	x := r.x
	stop := r.load("answers")
	time.Sleep(500 * time.Millisecond)
	r.began()
	if at, ok := r.setDataCentre(true); ok {
		r.effective("the removal")
		time.Sleep(time.Until(at.Add(noWorkBound + 3*time.Second)))
		if n := x.workIn(x.dataCentre(removed), at.Add(noWorkBound)); n > 0 {
			x.t.Errorf("I6: a removed data centre got %d requests more than %v after its removal", n, noWorkBound)
		}
	} else {
		r.fail(x.refused, "the removal was not accepted")
	}
	if _, ok := r.setDataCentre(false); ok {
		r.effective("the return")
		time.Sleep(time.Second)
	} else {
		r.fail(x.refused, "the return was not accepted")
	}
	stop()
}

// restore undoes what a step could not undo during a fault.
func (x *fleet) restore() {
	r := &run{x: x}
	if c, err := x.config(2); err != nil || len(c.DataCentresOut) == 0 {
		return
	}
	if _, ok := r.setDataCentre(false); !ok {
		x.t.Error("the data centre could not be brought back after the fault")
	}
}

// shutdownStep ends an instance gracefully under load and starts it again.
func shutdownStep(r *run) {
	x := r.x
	var open sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for range 4 {
		open.Add(1)
		go func() {
			defer open.Done()
			o := r.chat(chatCall{model: "answers", first: x.address(removed)})
			mu.Lock()
			defer mu.Unlock()
			for _, a := range o.brokenAt {
				if a == x.address(removed) && o.unknown {
					cut++
				}
			}
		}()
	}
	stop := r.load("answers")
	time.Sleep(100 * time.Millisecond)
	r.began()
	i := x.take(removed)
	if err := i.Shutdown(context.Background()); err != nil {
		x.t.Errorf("I11: shutdown: %v", err)
	}
	open.Wait()
	stop()
	if cut > 0 {
		x.t.Errorf("I11: the shutdown cut %d streams", cut)
	}
	x.start(removed)
}
