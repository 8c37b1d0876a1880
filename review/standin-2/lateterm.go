package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case stop-and-reload. Streams last as long as the large model takes for
// the mean number of events of the sheet.
const (
	stopRate     = 9 // streams a second to the machine that stops
	stopEvents   = 64
	stopGap      = 85 * time.Millisecond
	stopDeadline = 25 * time.Second
	stopAccepted = 3 * time.Second // after SIGTERM, from which on a stream that is taken must not be cut
	hangupAfter  = 2950 * time.Millisecond
	grace        = 8 * time.Second
	stopRounds   = 6
	directoryTTL = 2 * time.Second // for which clients keep an answer of the directory
	keepsLonger  = 3               // one client in so many keeps it for three times as long
)

// stopAndReload stops one machine after the other by SIGTERM, and sends the same machine a
// SIGHUP. It counts streams that were sent later than stopAccepted after the SIGTERM and that
// the machine passed on and cut.
func stopAndReload(s *scene) (int, error) {
	workers, err := s.addWorkers(4)
	if err != nil {
		return couldNot, err
	}
	for _, w := range workers {
		w.events, w.gap, w.firstAfter = stopEvents, stopGap, 100*time.Millisecond
	}
	s.store.put("config", "main", config(7, stopDeadline))
	for i := range 2 {
		if err := s.addMachine(fmt.Sprintf("edge-%d", i+1), zones[i], false); err != nil {
			return couldNot, err
		}
	}
	d := &directory{}
	if !s.awaitReady(d) {
		return couldNot, errors.New("the machines are not ready")
	}
	time.Sleep(contact)
	transport := newTransport()
	var group sync.WaitGroup
	var mu sync.Mutex
	lost, count, late := 0, 0, 0
	for round := range stopRounds {
		m := s.machines[round%2]
		var stopped time.Time
		if s.trouble {
			m.signal(syscall.SIGTERM)
			stopped = time.Now()
			s.note("%s gets SIGTERM", m.name)
			time.AfterFunc(hangupAfter, func() {
				m.signal(syscall.SIGHUP)
				s.note("%s gets SIGHUP", m.name)
			})
			time.AfterFunc(grace, func() {
				if m.upFor() > grace {
					m.signal(syscall.SIGKILL)
				}
			})
		}
		// A client that keeps an answer of the directory for three times its time goes on to
		// use the machine.
		begin := time.Now()
		for time.Since(begin) < 6*time.Second {
			count++
			id := fmt.Sprintf("%016x", count)
			group.Go(func() {
				r := send(transport, m.front, http.MethodPost, streamPath, id, text(usualBody), stopDeadline)
				ran := runs(workers, id)
				after := time.Duration(0)
				if !stopped.IsZero() {
					after = r.begin.Sub(stopped)
				}
				s.note("client: request %s to %s, sent %d ms after SIGTERM: status %d, %d events, complete %v, reached %d workers, %d ms, %v",
					id, m.name, after.Milliseconds(), r.status, r.events(), r.complete, ran, r.took.Milliseconds(), r.err)
				mu.Lock()
				defer mu.Unlock()
				if after > stopAccepted && ran > 0 {
					late++
					if !r.complete && r.took < stopDeadline {
						lost++
						s.note("BROKEN: request %s was taken %d ms after SIGTERM and given up", id, after.Milliseconds())
					}
				}
			})
			pause := time.Second / stopRate
			if time.Since(begin) > directoryTTL {
				pause *= keepsLonger
			}
			time.Sleep(pause)
		}
		time.Sleep(grace)
	}
	group.Wait()
	s.note("%d requests; sent later than %v after SIGTERM and passed on: %d, of which cut: %d", count, stopAccepted, late, lost)
	fmt.Printf("%d requests, sent late and passed on %d, of which cut %d\n", count, late, lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
