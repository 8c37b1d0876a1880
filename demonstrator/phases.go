package demonstrator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/listclient"
	"rosemaryarch.example/rosemaryarch/platformemulator"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// phase is one act of the demonstration.
type phase struct {
	name string
	run  func(ctx context.Context) error
}

// The names of the phases that the report compares.
const (
	phaseStart   = "start"
	phaseSteady  = "steady state"
	phaseGood    = "good roll-out"
	phaseBad     = "bad roll-out"
	phaseOut     = "data centre out"
	phaseBack    = "data centre back"
	phaseOutage  = "store outage and crash"
	phaseReplace = "graceful shutdown"
)

func (d *Demonstrator) phases() []phase {
	return []phase{
		{phaseStart, func(ctx context.Context) error { d.wait(ctx, rampSeconds); return nil }},
		{phaseSteady, func(ctx context.Context) error { d.wait(ctx, 5); return nil }},
		{phaseGood, d.rollOutGood},
		{phaseBad, d.rollOutBad},
		{phaseOut, d.takeOut},
		{phaseBack, d.bringBack},
		{phaseOutage, d.outage},
		{phaseReplace, d.replace},
	}
}

func (d *Demonstrator) play(ctx context.Context, p phase) error {
	d.ledger.begin(p.name)
	d.say("%s", p.name)
	if err := p.run(ctx); err != nil {
		return errors.Wrap(err, p.name)
	}
	return ctx.Err()
}

// wait pauses for a number of seconds, scaled.
func (d *Demonstrator) wait(ctx context.Context, seconds float64) {
	sleep(ctx, time.Duration(seconds*d.TimeScale*float64(time.Second)))
}

// changeTimeout bounds one operator's change.
const changeTimeout = 10 * time.Second

// apply replaces the configuration text and waits until it is in force.
func (d *Demonstrator) apply(ctx context.Context, text string) error {
	return d.change(ctx, "configuration", func(ctx context.Context) (administrator.Change, error) {
		id := fmt.Sprintf("text-%d", d.revision)
		var c administrator.Change
		err := d.eventually(ctx, "the change", func() bool {
			var err error
			c, err = d.admin(1).Apply(ctx, administrator.ApplyCall{Text: text, FromRevision: d.revision, ChangeID: id})
			return err == nil
		})
		return c, err
	})
}

// change makes one change and waits until every live instance has it in force.
func (d *Demonstrator) change(
	ctx context.Context, what string, make func(context.Context) (administrator.Change, error),
) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	asked := time.Now()
	c, err := make(ctx)
	if err != nil {
		return err
	}
	d.revision = c.Revision
	err = d.eventually(ctx, "revision in force everywhere", func() bool {
		for k, i := range d.instances {
			if i == nil {
				continue
			}
			s, err := d.admin(k).Config(ctx, administrator.Empty{})
			if err != nil || s.Revision < c.Revision {
				return false
			}
		}
		return true
	})
	took := time.Since(asked)
	d.inForce = append(d.inForce, took)
	d.say("%s: revision %d in force everywhere after %v", what, c.Revision, took.Round(time.Millisecond))
	return err
}

// withVersion returns the text with a further version of a model.
func withVersion(text, model, version string) string {
	lines := strings.Split(text, "\n")
	inModel := false
	for i, line := range lines {
		switch {
		case strings.TrimSpace(line) == "- name: "+model:
			inModel = true
		case inModel && strings.TrimSpace(line) == "versions:":
			rest := append([]string{"      - " + version}, lines[i+1:]...)
			// The newest version comes last, so that the current one stays first.
			for k := range rest[1:] {
				if !strings.HasPrefix(rest[k+1], "      - ") {
					break
				}
				rest[k], rest[k+1] = rest[k+1], rest[k]
			}
			return strings.Join(append(lines[:i+1:i+1], rest...), "\n")
		}
	}
	return text
}

func (d *Demonstrator) rollOutGood(ctx context.Context) error {
	d.ConfigText = withVersion(d.ConfigText, d.goodModel.Name, "{name: "+goodVersion+", state: canary, share_percent: 100}")
	if err := d.apply(ctx, d.ConfigText); err != nil {
		return err
	}
	d.wait(ctx, 5)
	s, err := d.admin(0).Status(ctx, administrator.Empty{})
	if err != nil {
		return err
	}
	for _, v := range s.Versions {
		if v.Key == d.goodModel.Name+"@"+goodVersion {
			d.say("%s has %.0f%% of new sessions (%s), %d ratings", v.Key, 100*v.Share, v.ShareReason, v.Ratings)
			if v.Stopped != "" {
				d.ledger.fault("the good version %s was stopped: %s", v.Key, v.Stopped)
			}
		}
	}
	return nil
}

// badSeconds is the longest time for which the test may let the bad version run.
// It sees about two answers of that version a second.
const badSeconds = 15

func (d *Demonstrator) rollOutBad(ctx context.Context) error {
	bad := d.badModel.Name + "@" + badVersion
	entry := "{name: " + badVersion + ", state: canary, share_percent: 10}"
	text := withVersion(d.ConfigText, d.badModel.Name, entry)
	d.badSince = time.Now()
	if err := d.apply(ctx, text); err != nil {
		return err
	}
	end := time.Now().Add(time.Duration(badSeconds * d.TimeScale * float64(time.Second)))
	stopped := ""
	for time.Now().Before(end) && ctx.Err() == nil {
		if s, err := d.admin(0).Status(ctx, administrator.Empty{}); err == nil {
			for _, v := range s.Versions {
				if v.Key == bad && v.Stopped != "" && stopped == "" {
					stopped = v.Stopped
					d.say("%s was stopped by the test (%s) after %v", bad, v.Stopped,
						time.Since(d.badSince).Round(100*time.Millisecond))
					end = time.Now().Add(time.Second)
				}
			}
		}
		sleep(ctx, 100*time.Millisecond)
	}
	if stopped == "" {
		d.ledger.fault("the bad version %s was not stopped", bad)
	}
	d.badUntil = time.Now()
	withdrawn := strings.Replace(text, entry, "{name: "+badVersion+", state: withdrawn}", 1)
	d.ConfigText = withdrawn
	if err := d.apply(ctx, withdrawn); err != nil {
		return err
	}
	d.laterNone("withdrawn version "+bad, func(from clock.Millis) int {
		n := 0
		for _, e := range d.hoster.Engines {
			n += e.ReceivedCount(bad, from)
		}
		return n
	})
	return nil
}

// noneBound is the time after which removed parts must get no new work.
const noneBound = 3 * clock.Second

// laterNone checks, after the bound, that no new work arrived since then.
func (d *Demonstrator) laterNone(what string, count func(from clock.Millis) int) {
	from := clock.System().Now() + noneBound
	d.requests.Add(1)
	go func() {
		defer d.requests.Done()
		time.Sleep((noneBound + 2*clock.Second).Duration())
		if n := count(from); n > 0 {
			d.ledger.fault("%s got %d requests more than 3 s after its removal", what, n)
		}
	}()
}

// removed is the data centre that leaves and returns.
func (d *Demonstrator) removed() string { return d.fleet.DataCentres[0].Name }

// workIn returns the requests that arrived in a data centre after an instant.
func (d *Demonstrator) workIn(dataCentre string, from clock.Millis) int {
	n := 0
	for _, e := range d.hoster.Engines {
		if e.DataCentre == dataCentre {
			n += e.ReceivedCount("", from)
		}
	}
	for _, p := range d.hoster.PlainEndpoints {
		if p.DataCentre == dataCentre {
			n += d.hoster.Platform.DeliveryCount(p.ID, from)
		}
	}
	return n
}

func (d *Demonstrator) setDataCentre(ctx context.Context, out bool) error {
	what := d.removed() + " in"
	if out {
		what = d.removed() + " out"
	}
	return d.change(ctx, what, func(ctx context.Context) (administrator.Change, error) {
		return d.admin(2).SetDataCentre(ctx, administrator.SetOutCall{
			Name: d.removed(), Out: out, ChangeID: fmt.Sprintf("%s-%d", strings.ReplaceAll(what, " ", "-"), d.revision),
		})
	})
}

func (d *Demonstrator) takeOut(ctx context.Context) error {
	asked := clock.System().Now()
	if err := d.setDataCentre(ctx, true); err != nil {
		return err
	}
	d.wait(ctx, 5)
	if n := d.workIn(d.removed(), asked+noneBound); n > 0 {
		d.ledger.fault("data centre %s got %d requests more than 3 s after its removal", d.removed(), n)
	}
	return nil
}

func (d *Demonstrator) bringBack(ctx context.Context) error {
	// The engines of a returned data centre have been restarted and are cold.
	for _, e := range d.hoster.Engines {
		if e.DataCentre == d.removed() {
			e.Restart()
		}
	}
	back := clock.System().Now()
	if err := d.setDataCentre(ctx, false); err != nil {
		return err
	}
	d.wait(ctx, 5)
	d.say("%s has had %d requests since its return", d.removed(), d.workIn(d.removed(), back))
	return nil
}

// crashed is the instance that is killed during the outage.
const crashed = 3

func (d *Demonstrator) outage(ctx context.Context) error {
	d.hoster.Store.SetFaults(storeemulator.Faults{Down: true})
	d.say("the object API is down")
	d.wait(ctx, 2)
	d.instances[crashed].Kill()
	d.instances[crashed] = nil
	d.say("instance entry-%d has crashed", crashed+1)
	d.hoster.Platform.SetFaults(platformemulator.Faults{LoseResponses: 3})
	d.wait(ctx, 3)
	d.hoster.Store.SetFaults(storeemulator.Faults{LoseWriteAnswers: 2})
	d.say("the object API is back and loses two answers")
	i, err := d.newInstance(crashed)
	if err != nil {
		return err
	}
	d.watch.restarted(crashed)
	d.instances[crashed] = i
	d.wait(ctx, 3)
	return nil
}

// replaced is the instance that is shut down gracefully.
const replaced = 4

func (d *Demonstrator) replace(ctx context.Context) error {
	leaving := d.hoster.Engines[len(d.hoster.Engines)-1]
	m := leaving.Member
	m.State = listclient.StateLeaving
	d.hoster.Platform.SetMember(m)
	d.laterNone("leaving endpoint "+m.ID, func(from clock.Millis) int { return leaving.ReceivedCount("", from) })
	address := d.hoster.Settings()[replaced].Listen
	d.ledger.mu.Lock()
	before := d.ledger.broken[address]
	d.ledger.mu.Unlock()
	err := d.instances[replaced].Shutdown(ctx)
	d.instances[replaced] = nil
	d.ledger.mu.Lock()
	cut := d.ledger.broken[address] - before
	d.ledger.mu.Unlock()
	if err != nil || cut > 0 {
		d.ledger.fault("the graceful shutdown cut %d streams: %v", cut, err)
	}
	d.say("instance entry-%d has left, %d streams cut", replaced+1, cut)
	d.wait(ctx, 1)
	return nil
}
