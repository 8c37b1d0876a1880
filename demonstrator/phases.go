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

// phase is one part of the demonstration. Latency and answers are reported by phase.
type phase struct {
	name string
	run  func(ctx context.Context) error
}

// Names of the phases in the report.
const (
	phaseStart          = "start"
	phaseSteady         = "steady state"
	phaseGood           = "good roll-out"
	phaseBad            = "bad roll-out"
	phaseDataCentreOut  = "data centre out"
	phaseDataCentreBack = "data centre back"
	phaseStoreOutage    = "store outage and crash"
	phaseShutdown       = "graceful shutdown"
)

// phases returns the phases in the order in which they run.
func (d *Demonstrator) phases() []phase {
	return []phase{
		{phaseStart, func(ctx context.Context) error { d.pause(ctx, rampSeconds); return nil }},
		{phaseSteady, func(ctx context.Context) error { d.pause(ctx, 5); return nil }},
		{phaseGood, d.deployGoodVersion},
		{phaseBad, d.deployBadVersion},
		{phaseDataCentreOut, d.removeDataCentre},
		{phaseDataCentreBack, d.returnDataCentre},
		{phaseStoreOutage, d.storeOutage},
		{phaseShutdown, d.shutDownInstance},
	}
}

// runPhase runs a phase. Requests that start from now on are counted in it.
func (d *Demonstrator) runPhase(ctx context.Context, p phase) error {
	d.collector.beginPhase(p.name)
	d.printf("%s", p.name)
	if err := p.run(ctx); err != nil {
		return errors.Wrap(err, p.name)
	}
	return ctx.Err()
}

// pause waits for a number of seconds times TimeScale.
func (d *Demonstrator) pause(ctx context.Context, seconds float64) {
	sleep(ctx, time.Duration(seconds*d.TimeScale*float64(time.Second)))
}

// changeTimeout bounds a change by an operator, until it is in force everywhere.
const changeTimeout = 10 * time.Second

// apply replaces the configuration text and waits until it is in force everywhere.
func (d *Demonstrator) apply(ctx context.Context, text string) error {
	return d.change(ctx, "configuration", func(ctx context.Context) (administrator.Change, error) {
		id := fmt.Sprintf("text-%d", d.revision)
		var change administrator.Change
		err := d.waitUntil(ctx, "acceptance of the change", func() bool {
			var err error
			change, err = d.admin(1).Apply(ctx, administrator.ApplyCall{Text: text, FromRevision: d.revision, ChangeID: id})
			return err == nil
		})
		return change, err
	})
}

// change makes a change and waits until it is in force at every running instance.
// It records and prints how long that took.
func (d *Demonstrator) change(
	ctx context.Context, what string, request func(context.Context) (administrator.Change, error),
) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	start := time.Now()
	c, err := request(ctx)
	if err != nil {
		return err
	}
	d.revision = c.Revision
	err = d.waitUntil(ctx, "the new revision at all instances", func() bool {
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
	elapsed := time.Since(start)
	d.propagationTimes = append(d.propagationTimes, elapsed)
	d.printf("%s: revision %d in force everywhere after %v", what, c.Revision, elapsed.Round(time.Millisecond))
	return err
}

// withVersion returns the configuration text with a further version of a model, given
// as a YAML element of its list of versions.
func withVersion(text, model, version string) string {
	lines := strings.Split(text, "\n")
	inModel := false
	for i, line := range lines {
		switch {
		case strings.TrimSpace(line) == "- name: "+model:
			inModel = true
		case inModel && strings.TrimSpace(line) == "versions:":
			rest := append([]string{"      - " + version}, lines[i+1:]...)
			// The new version goes to the end of the list, because the first one is
			// the current version.
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

// deployGoodVersion rolls out a version that is slightly better than the current one.
// The statistical test must not stop it.
func (d *Demonstrator) deployGoodVersion(ctx context.Context) error {
	d.ConfigText = withVersion(d.ConfigText, d.goodModel.Name,
		"{name: "+goodVersion+", state: canary, share_percent: 100}")
	if err := d.apply(ctx, d.ConfigText); err != nil {
		return err
	}
	d.pause(ctx, 5)
	s, err := d.admin(0).Status(ctx, administrator.Empty{})
	if err != nil {
		return err
	}
	for _, v := range s.Versions {
		if v.Key == d.goodModel.Name+"@"+goodVersion {
			d.printf("%s has %.0f%% of new sessions (%s), %d ratings", v.Key, 100*v.Share, v.ShareReason, v.Ratings)
			if v.Stopped != "" {
				d.collector.addViolation("the good version %s was stopped: %s", v.Key, v.Stopped)
			}
		}
	}
	return nil
}

// badVersionMaxSeconds, times TimeScale, is the time within which the statistical test
// must stop the bad version. It gets about two answers of that version per second.
const badVersionMaxSeconds = 15

// deployBadVersion rolls out a version with bad answers. The statistical test must
// stop it. The version is then withdrawn and must get no more requests.
func (d *Demonstrator) deployBadVersion(ctx context.Context) error {
	bad := d.badModel.Name + "@" + badVersion
	entry := "{name: " + badVersion + ", state: canary, share_percent: 10}"
	text := withVersion(d.ConfigText, d.badModel.Name, entry)
	d.badVersionSince = time.Now()
	if err := d.apply(ctx, text); err != nil {
		return err
	}
	end := time.Now().Add(time.Duration(badVersionMaxSeconds * d.TimeScale * float64(time.Second)))
	stopped := ""
	for time.Now().Before(end) && ctx.Err() == nil {
		if s, err := d.admin(0).Status(ctx, administrator.Empty{}); err == nil {
			for _, v := range s.Versions {
				if v.Key == bad && v.Stopped != "" && stopped == "" {
					stopped = v.Stopped
					d.printf("%s was stopped by the test (%s) after %v", bad, v.Stopped,
						time.Since(d.badVersionSince).Round(100*time.Millisecond))
					end = time.Now().Add(time.Second)
				}
			}
		}
		sleep(ctx, 100*time.Millisecond)
	}
	if stopped == "" {
		d.collector.addViolation("the bad version %s was not stopped", bad)
	}
	d.badVersionUntil = time.Now()
	withdrawn := strings.Replace(text, entry, "{name: "+badVersion+", state: withdrawn}", 1)
	d.ConfigText = withdrawn
	if err := d.apply(ctx, withdrawn); err != nil {
		return err
	}
	d.checkNoRequestsAfterRemoval("withdrawn version "+bad, func(from clock.Millis) int {
		n := 0
		for _, e := range d.hoster.Engines {
			n += e.ReceivedCount(bad, from)
		}
		return n
	})
	return nil
}

// removalBound is the time after which a removed version, endpoint or data centre
// must get no new requests.
const removalBound = 3 * clock.Second

// checkNoRequestsAfterRemoval checks in the background that a part that is removed
// now gets no requests in the 2 s after removalBound. count returns the number of
// requests to that part since a time.
func (d *Demonstrator) checkNoRequestsAfterRemoval(what string, count func(from clock.Millis) int) {
	from := clock.System().Now() + removalBound
	d.inFlight.Add(1)
	go func() {
		defer d.inFlight.Done()
		time.Sleep((removalBound + 2*clock.Second).Duration())
		if n := count(from); n > 0 {
			d.collector.addViolation("%s got %d requests more than 3 s after its removal", what, n)
		}
	}()
}

// removedDataCentre returns the name of the data centre that is taken out of service
// and returned.
func (d *Demonstrator) removedDataCentre() string { return d.fleet.DataCentres[0].Name }

// requestsIn returns the number of requests that the endpoints in a data centre have
// received since a time.
func (d *Demonstrator) requestsIn(dataCentre string, from clock.Millis) int {
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

// setDataCentre takes the data centre out of service or returns it.
func (d *Demonstrator) setDataCentre(ctx context.Context, out bool) error {
	what := d.removedDataCentre() + " in"
	if out {
		what = d.removedDataCentre() + " out"
	}
	return d.change(ctx, what, func(ctx context.Context) (administrator.Change, error) {
		return d.admin(2).SetDataCentre(ctx, administrator.SetOutCall{
			Name: d.removedDataCentre(), Out: out,
			ChangeID: fmt.Sprintf("%s-%d", strings.ReplaceAll(what, " ", "-"), d.revision),
		})
	})
}

// removeDataCentre takes a data centre out of service and checks that its endpoints
// get no new requests.
func (d *Demonstrator) removeDataCentre(ctx context.Context) error {
	requested := clock.System().Now()
	if err := d.setDataCentre(ctx, true); err != nil {
		return err
	}
	d.pause(ctx, 5)
	if n := d.requestsIn(d.removedDataCentre(), requested+removalBound); n > 0 {
		d.collector.addViolation("data centre %s got %d requests more than 3 s after its removal", d.removedDataCentre(), n)
	}
	return nil
}

// returnDataCentre returns the data centre to service, with cold engines.
func (d *Demonstrator) returnDataCentre(ctx context.Context) error {
	// The engines are restarted before the data centre returns, so that they are cold.
	for _, e := range d.hoster.Engines {
		if e.DataCentre == d.removedDataCentre() {
			e.Restart()
		}
	}
	returned := clock.System().Now()
	if err := d.setDataCentre(ctx, false); err != nil {
		return err
	}
	d.pause(ctx, 5)
	d.printf("%s has had %d requests since its return", d.removedDataCentre(),
		d.requestsIn(d.removedDataCentre(), returned))
	return nil
}

// crashedIndex is the index of the instance that is killed during the outage.
const crashedIndex = 3

// storeOutage makes the object API unavailable, kills an instance and starts it again
// when the object API is back. Some responses of the plain service and of the object
// API are dropped meanwhile.
func (d *Demonstrator) storeOutage(ctx context.Context) error {
	d.hoster.Store.SetFaults(storeemulator.Faults{Down: true})
	d.printf("the object API is down")
	d.pause(ctx, 2)
	d.instances[crashedIndex].Kill()
	d.instances[crashedIndex] = nil
	d.printf("instance entry-%d has crashed", crashedIndex+1)
	d.hoster.Platform.SetFaults(platformemulator.Faults{LoseResponses: 3})
	d.pause(ctx, 3)
	d.hoster.Store.SetFaults(storeemulator.Faults{LoseWriteAnswers: 2})
	d.printf("the object API is back and loses two answers")
	i, err := d.newInstance(crashedIndex)
	if err != nil {
		return err
	}
	d.watcher.resetRevision(crashedIndex)
	d.instances[crashedIndex] = i
	d.pause(ctx, 3)
	return nil
}

// shutDownIndex is the index of the instance that is shut down gracefully.
const shutDownIndex = 4

// shutDownInstance marks an engine as leaving and shuts down an instance gracefully.
// The engine must get no new requests, and the instance must cut no stream.
func (d *Demonstrator) shutDownInstance(ctx context.Context) error {
	leaving := d.hoster.Engines[len(d.hoster.Engines)-1]
	m := leaving.Member
	m.State = listclient.StateLeaving
	d.hoster.Platform.SetMember(m)
	d.checkNoRequestsAfterRemoval("leaving endpoint "+m.ID, func(from clock.Millis) int {
		return leaving.ReceivedCount("", from)
	})
	address := d.hoster.Settings()[shutDownIndex].Listen
	d.collector.mu.Lock()
	before := d.collector.brokenStreams[address]
	d.collector.mu.Unlock()
	err := d.instances[shutDownIndex].Shutdown(ctx)
	d.instances[shutDownIndex] = nil
	d.collector.mu.Lock()
	cut := d.collector.brokenStreams[address] - before
	d.collector.mu.Unlock()
	if err != nil || cut > 0 {
		d.collector.addViolation("the graceful shutdown cut %d streams: %v", cut, err)
	}
	d.printf("instance entry-%d has left, %d streams cut", shutDownIndex+1, cut)
	d.pause(ctx, 1)
	return nil
}
