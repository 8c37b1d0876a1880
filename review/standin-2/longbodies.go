package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case long-bodies. The rate, the number of events and the deadline are
// those of the smallest deployment of SYSTEM.md for each machine; the body is as long as
// its configuration allows.
const (
	bodyRate     = 6 // streams a second for each machine
	bodyMachines = 2
	bodyEvents   = 55
	bodyGap      = 80 * time.Millisecond   // the large model, with 7 tokens in an event
	bodyFirst    = 2500 * time.Millisecond // within the target latency of 3 s
	warmFor      = 8 * time.Second         // of requests with usual bodies, after which connections are kept
	bodyDeadline = 20 * time.Second
	bodyFor      = 30 * time.Second
	usualBody    = 12000
	maxBody      = 4194304
	longEvery    = 1 // one request in so many has the long body
	lostAllowed  = 3
)

// longBodies sends streams with long bodies, all allowed by the limits of the configuration,
// and counts requests from kept connections that had reached a worker and whose
// connection then closed without a complete answer.
func longBodies(s *scene) (int, error) {
	workers, err := s.addWorkers(4)
	if err != nil {
		return couldNot, err
	}
	for _, w := range workers {
		w.events, w.gap, w.firstAfter = bodyEvents, bodyGap, bodyFirst
	}
	s.store.put("config", "main", config(7, bodyDeadline))
	for i := range bodyMachines {
		if err := s.addMachine(fmt.Sprintf("edge-%d", i+1), zones[i], true); err != nil {
			return couldNot, err
		}
	}
	d := &directory{}
	if !s.awaitReady(d) {
		return couldNot, errors.New("the machines are not ready")
	}
	time.Sleep(contact)
	size := usualBody
	if s.trouble {
		size = maxBody
	}
	long, usual := text(size), text(usualBody)
	transport := newTransport()
	go func() {
		for {
			time.Sleep(time.Second)
			d.refresh(s.machines)
		}
	}()
	var group sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	lost := 0
	count := 0
	warmUntil := time.Now().Add(warmFor)
	for end := time.Now().Add(warmFor + bodyFor); time.Now().Before(end); time.Sleep(time.Second / (bodyRate * bodyMachines)) {
		count++
		id := fmt.Sprintf("%016x", count)
		address, body := d.pick(), usual
		if time.Now().After(warmUntil) && count%longEvery == 0 {
			body = long
		}
		group.Go(func() {
			r := send(transport, address, http.MethodPost, streamPath, id, body, bodyDeadline)
			ran := runs(workers, id)
			s.note("client: request %s to %s, connection kept %v: status %d, %d events, complete %v, reached %d workers, %d ms, %v",
				id, address, r.reused, r.status, r.events(), r.complete, ran, r.took.Milliseconds(), r.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.complete:
				counts[fmt.Sprint(r.status)]++
			default:
				counts["closed"]++
				if r.reused && ran > 0 && r.status == 0 && r.took < bodyDeadline {
					lost++
				}
			}
		})
	}
	group.Wait()
	kills := 0
	for _, m := range s.machines {
		m.mu.Lock()
		s.note("%s: largest memory seen %d MB of %d, killed %d times for its memory", m.name, m.peakMB, memoryMB, m.memoryKills)
		kills += m.memoryKills
		m.mu.Unlock()
	}
	s.note("%d requests with bodies of %d bytes; answers: %v", count, size, counts)
	s.note("requests from kept connections that had reached a sound worker and whose connection closed without an answer: %d (allowed: %d)",
		lost, lostAllowed)
	fmt.Printf("%d requests, answers %v, lost %d, ends for memory %d\n", count, counts, lost, kills)
	if lost > lostAllowed {
		return broken, nil
	}
	return held, nil
}

// text returns a body of n bytes.
func text(n int) []byte {
	body := make([]byte, n)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	return body
}
