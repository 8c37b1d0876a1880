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

// stepRun is one execution of a step. The step calls onStart when it is under way.
type stepRun struct {
	fleet   *fleet
	fault   fault
	onStart func()

	mu       sync.Mutex
	failures []failure // of parts of the step
}

// failure is the failure of a part of a step by an explicit refusal.
type failure struct {
	reason refuser.Reason
	what   string
}

func (r *stepRun) addFailure(reason refuser.Reason, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, failure{reason, fmt.Sprintf(format, args...)})
}

// steps returns the steps of callers and operators, which are the columns of the matrix.
func steps() map[string]func(r *stepRun) {
	return map[string]func(r *stepRun){
		"order": orderStep, "stream": streamStep, "session": sessionStep, "configuration": configurationStep,
		"data centre": dataCentreStep, "shutdown": shutdownStep,
	}
}

func (f *fleet) newID(kind string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestCount++
	return fmt.Sprintf("%s-%d", kind, f.requestCount)
}

// sendChat sends a model request and checks the answer. It records a failure if the
// answer is not complete, except if the version was withdrawn.
func (r *stepRun) sendChat(c chatRequest) outcome {
	fleet := r.fleet
	c.id = fleet.newID("r")
	c.prompt = strings.Repeat("The window is fogged. ", 8) + c.id
	service, _, _ := strings.Cut(c.model, ":")
	s, _ := fleet.parsed.Service(service)
	ctx, cancel := context.WithTimeout(context.Background(), s.DeadlineMS.Duration())
	defer cancel()
	o := fleet.caller.chat(ctx, c)
	for _, e := range o.refusals {
		if e.Reason == "" ||
			!slices.Contains([]refuser.Execution{refuser.NotExecuted, refuser.Executed, refuser.ExecutionUnknown}, e.Execution) {
			fleet.t.Errorf("I7: request %s got an untyped error %+v", c.id, e)
		}
	}
	if !o.complete {
		if o.lastRefusal().Reason != refuser.ErrWithdrawn.Reason {
			r.addFailure(o.lastRefusal().Reason, "request %s got no complete answer: %s", c.id, o.summary())
		}
		return o
	}
	if !o.isCorrect(c.prompt) {
		fleet.t.Errorf("I7: request %s got a wrong answer from %s: %q", c.id, o.version, o.text)
	}
	model, _, _ := strings.Cut(o.version, "@")
	if w, _ := fleet.parsed.Workspace(workspace); !slices.Contains(w.Models, model) {
		fleet.t.Errorf("I1: request %s ran on %s", c.id, o.version)
	}
	fleet.mu.Lock()
	fleet.versionByRequest[workspace+"/"+c.id] = o.version
	fleet.mu.Unlock()
	return o
}

// orderStep sends an order to two instances at once and later to a third one, under the
// same key. It checks that all confirmations have the same body, and that the order was not
// executed if all responses say so.
func orderStep(r *stepRun) {
	fleet, key := r.fleet, r.fleet.newID("visit")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var outcomes [3]orderOutcome
	var inFlight sync.WaitGroup
	for k := range 2 {
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			outcomes[k] = fleet.caller.sendOrder(ctx, key, fleet.address(targetInstance+k))
		}()
	}
	r.onStart()
	inFlight.Wait()
	laterCtx, cancelLater := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancelLater()
	outcomes[2] = fleet.caller.sendOrder(laterCtx, key, fleet.address(2))
	confirmed, notExecuted, body := false, true, ""
	for k, o := range outcomes {
		if o.complete {
			confirmed = true
			if body != "" && o.body != body {
				fleet.t.Errorf("I9: order %s was confirmed with different bodies %q and %q", key, body, o.body)
			}
			body = o.body
		} else {
			r.addFailure(o.lastRefusal().Reason, "delivery %d of %s: %s", k+1, key, o.summary())
		}
		notExecuted = notExecuted && !o.complete && !o.noResponse && len(o.refusals) > 0
		for _, e := range o.refusals {
			notExecuted = notExecuted && e.Execution == refuser.NotExecuted
		}
	}
	if !confirmed {
		r.addFailure(reasonNotConfirmed, "no delivery of %s was confirmed", key)
	}
	fleet.mu.Lock()
	fleet.confirmed[key] = confirmed
	if confirmed {
		fleet.versionByRequest[workspace+"/bookings/"+key] = ""
	}
	fleet.mu.Unlock()
	if executions := fleet.hoster.Platform.RunCount("bookings", workspace+"."+key); notExecuted && executions > 0 {
		fleet.t.Errorf("I8: order %s was executed %d times although every response said that it was not", key, executions)
	}
}

// streamStep streams six answers at once, half of them through the target instance.
func streamStep(r *stepRun) {
	var inFlight sync.WaitGroup
	for k := range 6 {
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			c := chatRequest{model: []string{"answers", "answers:large"}[k%2]}
			if k < 3 {
				c.first = r.fleet.address(targetInstance)
			}
			r.sendChat(c)
		}()
	}
	r.onStart()
	inFlight.Wait()
}

// sessionStep sends three requests of a session to three instances: the second with the
// session token of the first response, the third with the session id only. It checks
// that the session keeps its version.
func sessionStep(r *stepRun) {
	fleet, id := r.fleet, r.fleet.newID("session")
	first := r.sendChat(chatRequest{model: "answers", session: id, first: fleet.address(targetInstance)})
	r.onStart()
	time.Sleep(time.Second)
	second := r.sendChat(chatRequest{model: "answers", session: id, token: first.token, first: fleet.address(1)})
	third := r.sendChat(chatRequest{model: "answers", session: id, first: fleet.address(2)})
	if !first.complete || !second.complete || !third.complete {
		return
	}
	if second.version != first.version {
		fleet.t.Errorf("I3: the session moved from %s to %s with its token", first.version, second.version)
	}
	if third.version != first.version {
		r.addFailure("session_moved", "I3: the session moved from %s to %s without its token", first.version, third.version)
	}
}

// generateLoad sends requests to the model every 200 ms until stop is called, which
// waits for all responses.
func (r *stepRun) generateLoad(model string) (stop func()) {
	done := make(chan struct{})
	var inFlight sync.WaitGroup
	inFlight.Add(1)
	go func() {
		defer inFlight.Done()
		for {
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
			}
			inFlight.Add(1)
			go func() {
				defer inFlight.Done()
				r.sendChat(chatRequest{model: model})
			}()
		}
	}()
	return func() { close(done); inFlight.Wait() }
}

// applyConfig replaces the configuration text, whatever revision is in force.
func (r *stepRun) applyConfig(text string) (time.Time, bool) {
	return r.fleet.change("text", func(ctx context.Context, a administrator.Administrator, id string) error {
		// A repeated change is recognised by its id.
		c, err := a.Config(ctx, administrator.Empty{})
		if err == nil {
			_, err = a.Apply(ctx, administrator.ApplyCall{Text: text, FromRevision: c.Revision, ChangeID: id})
		}
		return err
	})
}

// checkInForce checks that the newest revision that any instance has is in force at all
// instances, except the target instance if the fault disables it.
func (r *stepRun) checkInForce(what string) {
	fleet := r.fleet
	except := map[int]bool{}
	if r.fault.targetDown {
		except[targetInstance] = true
	}
	revision := uint64(0)
	for k := range fleet.instances {
		if fleet.isRunning(k) && !except[k] {
			if c, err := fleet.config(k); err == nil {
				revision = max(revision, c.Revision)
			}
		}
	}
	if !fleet.waitForRevision(revision, except) {
		fleet.t.Errorf("I12: %s is not in force everywhere after %v: %s",
			what, maxPropagationTime, fleet.outdated(revision, except))
	}
}

// configurationStep withdraws a version under load and returns it to service. It checks
// that the version gets no requests in between.
func configurationStep(r *stepRun) {
	fleet := r.fleet
	stop := r.generateLoad("answers:small@v2")
	time.Sleep(500 * time.Millisecond)
	r.onStart()
	if at, ok := r.applyConfig(configWithTwoVersions("withdrawn")); ok {
		r.checkInForce("the withdrawal")
		time.Sleep(time.Until(at.Add(removalBound + 3*time.Second)))
		n, from := 0, clock.Millis(at.Add(removalBound).UnixMilli())
		for _, e := range fleet.hoster.Engines {
			n += e.ReceivedCount("small@v2", from)
		}
		if n > 0 {
			fleet.t.Errorf("I2: a withdrawn version got %d requests more than %v after its withdrawal", n, removalBound)
		}
	} else {
		r.addFailure(fleet.lastRefusal, "the withdrawal was not accepted")
	}
	stop()
	if _, ok := r.applyConfig(fleet.configText); ok {
		r.checkInForce("the return of the version")
	} else {
		r.addFailure(fleet.lastRefusal, "the return of the version was not accepted")
	}
}

// removedInstance is the index of an instance. dataCentreStep takes its data centre out
// of service, and shutdownStep shuts it down.
const removedInstance = 1

func (r *stepRun) setDataCentre(out bool) (time.Time, bool) {
	return r.fleet.change("data centre", func(ctx context.Context, a administrator.Administrator, id string) error {
		_, err := a.SetDataCentre(ctx, administrator.SetOutCall{
			Name: r.fleet.dataCentre(removedInstance), Out: out, ChangeID: id})
		return err
	})
}

// dataCentreStep takes a data centre out of service under load and returns it. It checks
// that its endpoints get no new requests in between.
func dataCentreStep(r *stepRun) {
	fleet := r.fleet
	stop := r.generateLoad("answers")
	time.Sleep(500 * time.Millisecond)
	r.onStart()
	if at, ok := r.setDataCentre(true); ok {
		r.checkInForce("the removal")
		time.Sleep(time.Until(at.Add(removalBound + 3*time.Second)))
		if n := fleet.requestsIn(fleet.dataCentre(removedInstance), at.Add(removalBound)); n > 0 {
			fleet.t.Errorf("I6: a removed data centre got %d requests more than %v after its removal", n, removalBound)
		}
	} else {
		r.addFailure(fleet.lastRefusal, "the removal was not accepted")
	}
	if _, ok := r.setDataCentre(false); ok {
		r.checkInForce("the return")
		time.Sleep(time.Second)
	} else {
		r.addFailure(fleet.lastRefusal, "the return was not accepted")
	}
	stop()
}

// undoRemoval returns the data centre to service if the step could not do so during the
// fault.
func (f *fleet) undoRemoval() {
	r := &stepRun{fleet: f}
	if c, err := f.config(2); err != nil || len(c.DataCentresOut) == 0 {
		return
	}
	if _, ok := r.setDataCentre(false); !ok {
		f.t.Error("the data centre could not be returned to service after the fault")
	}
}

// shutdownStep shuts down an instance gracefully under load and starts it again. It
// checks that the instance cuts no stream.
func shutdownStep(r *stepRun) {
	fleet := r.fleet
	var inFlight sync.WaitGroup
	var mu sync.Mutex
	cutStreams := 0
	for range 4 {
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			o := r.sendChat(chatRequest{model: "answers", first: fleet.address(removedInstance)})
			mu.Lock()
			defer mu.Unlock()
			for _, a := range o.brokenAddresses {
				if a == fleet.address(removedInstance) && o.noResponse {
					cutStreams++
				}
			}
		}()
	}
	stop := r.generateLoad("answers")
	time.Sleep(100 * time.Millisecond)
	r.onStart()
	instance := fleet.remove(removedInstance)
	if err := instance.Shutdown(context.Background()); err != nil {
		fleet.t.Errorf("I11: shutdown: %v", err)
	}
	inFlight.Wait()
	stop()
	if cutStreams > 0 {
		fleet.t.Errorf("I11: the shutdown cut %d streams", cutStreams)
	}
	fleet.start(removedInstance)
}
