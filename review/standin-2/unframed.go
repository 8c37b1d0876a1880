package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case unframed-extra. The share of answers that are followed by another
// one is that of the site file for the disruption garble with how = "extra".
const (
	unframedRate     = 28 // requests a second, those of the sheet to the four plain workers
	unframedRounds   = 6
	unframedOn       = 5 * time.Second // for_s of the disruption
	unframedOff      = 3 * time.Second
	unframedBytes    = 200 << 10
	unframedEvery    = 20 // one answer in so many has no length: 0.05
	extraEvery       = 50 // one answer in so many is followed by another one: 0.02
	unframedDeadline = 2500 * time.Millisecond
	unframedPath     = "/cufi504/fi50/2f"
)

// plainBody is the whole body of the answer to a request.
func plainBody(id string) []byte {
	line := "the answer to request " + id + "\n"
	return []byte(strings.Repeat(line, unframedBytes/len(line)))
}

// unframedExtra lets a server leave out the length of some answers, and send an earlier answer
// once more behind some of these. It compares what clients get with the whole body.
func unframedExtra(s *scene) (int, error) {
	workers, err := s.addWorkers(4)
	if err != nil {
		return couldNot, err
	}
	var last atomic.Pointer[string]
	var on atomic.Bool
	for i, w := range workers {
		// One worker of four, a share of 0.25, is spoilt.
		var answers, unframed int64
		var spoilt sync.Mutex
		w.handle = func(rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Rosemaryarch-Attempt-Id")
			earlier := last.Swap(&id)
			noLength, extra := false, false
			if i == 0 && on.Load() {
				spoilt.Lock()
				if answers++; answers%unframedEvery == 0 {
					noLength = true
					unframed++
					// Two of five answers without a length: 0.02 of all.
					extra = earlier != nil && unframed*unframedEvery/extraEvery > (unframed-1)*unframedEvery/extraEvery
				}
				spoilt.Unlock()
			}
			body := plainBody(id)
			if !noLength {
				rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
				_, _ = rw.Write(body)
				return
			}
			conn, buffered, err := http.NewResponseController(rw).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRosemaryarch-Attempt-Id: %s\r\nRosemaryarch-Response-Signature: %s.%s\r\n"+
				"Content-Type: text/plain\r\nConnection: close\r\n\r\n", id, w.id, id)
			_, _ = buffered.Write(body)
			s.note("worker %s: the answer to %s has no length", w.id, id)
			if extra {
				body := "the answer to request " + *earlier + "\n"
				fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRosemaryarch-Attempt-Id: %s\r\nRosemaryarch-Response-Signature: %s.%s\r\n"+
					"Content-Length: %d\r\n\r\n%s", *earlier, w.id, *earlier, len(body), body)
				s.note("worker %s: sends the answer to %s once more behind that to %s", w.id, *earlier, id)
			}
			_ = buffered.Flush()
		}
	}
	c := config(7, unframedDeadline)
	route := c["routes"].([]any)[0].(map[string]any)
	route["pathPrefix"], route["type"], route["maxAttempts"], route["targetLatencyMs"] = "/cufi504/", "safe", 2, 150
	s.store.put("config", "main", c)
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
	count, mixed, served := 0, 0, 0
	begin := time.Now()
	for time.Since(begin) < unframedRounds*(unframedOn+unframedOff) {
		time.Sleep(time.Second / unframedRate)
		on.Store(s.trouble && time.Since(begin)%(unframedOn+unframedOff) < unframedOn)
		count++
		id := fmt.Sprintf("%016x", count)
		group.Go(func() {
			r := send(transport, d.pick(), http.MethodGet, unframedPath, id, nil, unframedDeadline)
			whole := plainBody(id)
			s.note("client: request %s: status %d, signature %q, %d bytes of %d, complete %v, %v",
				id, r.status, r.header.Get("Rosemaryarch-Response-Signature"), len(r.body), len(whole), r.complete, r.err)
			if r.status != http.StatusOK || !r.complete {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			served++
			if !bytes.Equal(r.body, whole) {
				mixed++
				s.note("BROKEN: request %s got a success with a body that is not the worker's; it goes on with %q", id, r.body[min(len(r.body), len(whole)):])
			}
		})
	}
	group.Wait()
	s.note("%d requests, %d served, of which %d with foreign bytes", count, served, mixed)
	fmt.Printf("%d requests, %d served, of which %d with foreign bytes\n", count, served, mixed)
	if mixed > 0 {
		return broken, nil
	}
	return held, nil
}
