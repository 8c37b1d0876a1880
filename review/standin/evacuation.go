package main

import (
	"errors"
	"time"
)

const (
	machines, workers = 4, 6
	perSecond         = 60.0
	// silentFor is the time in which the store does not answer one machine.
	silentFor  = 800 * time.Millisecond
	orderAfter = 400 * time.Millisecond // from the begin of that time
	contact    = 3 * time.Second        // contactMs
	evacuate   = 5 * time.Second        // evacuateMs
	maxStretch = 5 * time.Second        // maxStretchMs
	zone       = "fukuoka"
)

// evacuation empties a zone while the store does not answer one of its machines.
func evacuation(trouble bool, path string) (bool, error) {
	d, err := newDeployment([]string{zone, "oita"})
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.put("config", "main", config(7))
	for i := range workers {
		if _, err := d.addWorker(i, "v1", 0); err != nil {
			return false, err
		}
	}
	for i := range machines {
		if err := d.startMachine(i); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	c := &clients{record: d.record, zones: d.zones, host: host, key: key}
	for i := range machines {
		if !d.ready(i) {
			return false, errors.New("a machine is not ready after 10 s")
		}
		c.directory = append(c.directory, node{d.zones[i%len(d.zones)], d.address(firstMachine+i, listPort)})
	}
	trafficEnd := make(chan struct{})
	go func() {
		defer close(trafficEnd)
		c.run(35*time.Second, perSecond)
	}()
	time.Sleep(2 * time.Second)

	// The order falls into the first second of the reader's present watch of the orders.
	reader := d.address(firstStore, storePort) // the store as the first machine reaches it
	for end := time.Now().Add(14 * time.Second); time.Since(d.store.watchStart("evacuations", reader)) > time.Second; {
		if time.Now().After(end) {
			return false, errors.New("the first machine has not begun a watch of the evacuations")
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.record.note("the first machine of %s has watched evacuations for %d ms", zone,
		time.Since(d.store.watchStart("evacuations", reader)).Milliseconds())
	stableFrom := time.Time{}
	if trouble {
		d.record.note("the store's answers to this machine are lost from now on")
		d.store.setSilent(reader)
	}
	time.Sleep(orderAfter)
	ordered := d.store.put("evacuations", zone, map[string]any{})
	d.record.note("the evacuation of %s is acknowledged", zone)
	time.Sleep(silentFor - orderAfter)
	if trouble {
		d.store.setSilent("")
		stableFrom = time.Now().Add(contact)
		d.record.note("the store answers this machine again; %d answers were lost", d.store.lost)
	}
	<-trafficEnd
	if d.stop() {
		return false, errors.New("a machine's process has ended by itself")
	}
	d.processes = nil
	broken := judge(d.record, ordered, stableFrom)
	return broken, d.record.save(path)
}

// judge checks EVAC. The evacuation is not taken back. The bound is evacuateMs from the
// acknowledgement. After a disruption it is the latest that any reading of the rules
// allows: it runs anew from stableFrom, contactMs after the disruption, from when on all
// machines are in touch, and is stretched by maxStretchMs.
func judge(r *record, ordered, stableFrom time.Time) bool {
	from := ordered.Add(evacuate)
	if !stableFrom.IsZero() {
		from = from.Add(maxStretch)
		if late := stableFrom.Add(evacuate); late.After(from) {
			from = late
		}
	}
	before, late := 0, 0
	var last time.Time
	for _, x := range r.runs {
		switch {
		case x.zone != zone || x.at.Before(ordered):
		case x.at.Before(from):
			before++
		default:
			late++
			last = x.at
		}
	}
	failed := 0
	for _, a := range r.answers {
		if a.status != 200 {
			failed++
		}
	}
	r.note("%d requests sent, %d without a success", len(r.answers), failed)
	r.note("EVAC: workers of %s ran %d requests within the bound, and %d later than %d ms after the acknowledgement",
		zone, before, late, from.Sub(ordered).Milliseconds())
	if late > 0 {
		r.note("EVAC: the last one came %d ms after the acknowledgement", last.Sub(ordered).Milliseconds())
	}
	return late > 0
}
