package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case restored-key. The store is away for restoredAway and comes back from a
// copy that is restoredAge old then; the letter's day has 2.0 and 9.0 s.
const (
	revokedKey    = "anfqasnmgkcuyj8pjbvk"
	revokeBound   = 5 * time.Second // revokeMs
	copyToRevoke  = 500 * time.Millisecond
	restoredAge   = 8 * time.Second
	restoredAway  = 2 * time.Second
	killBefore    = 900 * time.Millisecond // the return of the store
	rewriteAfter  = time.Second            // the return of the store
	keyRate       = 20                     // requests a second with the key
	keyPath       = "/cufi504/fi50/2f"
	keyDeadline   = 2500 * time.Millisecond
	keyWatchAfter = 5 * time.Second
)

// restoredKey takes a key away, brings the store back from a copy that still has it, and
// kills all processes meanwhile. It counts requests with the key that run later than
// revokeBound after the acknowledgement.
func restoredKey(s *scene) (int, error) {
	workers, err := s.addWorkers(4)
	if err != nil {
		return couldNot, err
	}
	for _, w := range workers {
		w.handle = func(rw http.ResponseWriter, r *http.Request) { _, _ = rw.Write([]byte("done")) }
	}
	configuration := func(version int, keys ...string) map[string]any {
		c := config(version, keyDeadline)
		route := c["routes"].([]any)[0].(map[string]any)
		route["pathPrefix"], route["type"], route["maxAttempts"], route["targetLatencyMs"] = "/cufi504/", "safe", 2, 150
		c["tenants"] = []any{map[string]any{"name": "hule930", "apiKeys": keys}}
		return c
	}
	s.store.put("config", "main", configuration(7, clientKey, revokedKey))
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
	copied := s.store.copy()
	start := time.Now()
	s.note("the store is copied")
	time.Sleep(copyToRevoke)
	s.store.put("config", "main", configuration(8, clientKey))
	revoked := time.Now()
	s.note("version 8, which takes the key away, is acknowledged")
	if s.trouble {
		back := start.Add(restoredAge)
		time.AfterFunc(time.Until(back.Add(-restoredAway)), func() {
			s.store.setDown()
			s.note("the store is away")
		})
		time.AfterFunc(time.Until(back.Add(-killBefore)), func() {
			for _, m := range s.machines {
				m.signal(syscall.SIGKILL)
			}
			s.note("all processes are killed")
		})
		time.AfterFunc(time.Until(back), func() {
			s.store.restore(copied)
			s.note("the store is back from the copy")
		})
		time.AfterFunc(time.Until(back.Add(rewriteAfter)), func() {
			s.store.put("config", "main", configuration(8, clientKey))
			s.note("the operator has written version 8 again")
		})
	}
	transport := newTransport()
	var group sync.WaitGroup
	var mu sync.Mutex
	count, late := 0, 0
	for end := start.Add(restoredAge + keyWatchAfter); time.Now().Before(end); time.Sleep(time.Second / keyRate) {
		count++
		id := fmt.Sprintf("%016x", count)
		address := s.machines[count%len(s.machines)].front
		group.Go(func() {
			r := sendWithKey(transport, revokedKey, address, http.MethodGet, keyPath, id, nil, keyDeadline)
			ran := runs(workers, id)
			after := r.begin.Sub(revoked)
			s.note("client: request %s to %s, sent %d ms after the key was taken away: status %d, ran %d times, %v",
				id, address, after.Milliseconds(), r.status, ran, r.err)
			mu.Lock()
			defer mu.Unlock()
			if ran > 0 && after > revokeBound {
				late++
				s.note("BROKEN: request %s ran though it was sent %d ms after its key was taken away", id, after.Milliseconds())
			}
		})
	}
	group.Wait()
	s.note("%d requests with the key that was taken away; ran later than %v after that: %d", count, revokeBound, late)
	fmt.Printf("%d requests with the key, ran later than %v: %d\n", count, revokeBound, late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
