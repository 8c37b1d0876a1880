package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case unframed-extra. The share of answers that are followed by another
// one is that of the site file for the disruption garble with how = "extra".
const (
	unframedRate     = 20 // requests a second
	unframedFor      = 40 * time.Second
	unframedBytes    = 200 << 10
	unframedEvery    = 50 // one answer in so many is followed by another one: 0.02
	unframedDeadline = 2500 * time.Millisecond
	unframedPath     = "/cufi504/fi50/2f"
)

// plainBody is the whole body of the answer to a request.
func plainBody(id string) []byte {
	line := "the answer to request " + id + "\n"
	return []byte(strings.Repeat(line, unframedBytes/len(line)))
}

// unframedExtra lets servers answer without a length, and send an earlier answer once more
// behind some of the bodies. It compares what clients get with the whole body.
func unframedExtra(s *scene) (int, error) {
	workers, err := s.addWorkers(4)
	if err != nil {
		return couldNot, err
	}
	var answers atomic.Int64
	var last atomic.Pointer[string]
	for _, w := range workers {
		w.handle = func(rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Rosemaryarch-Attempt-Id")
			conn, buffered, err := http.NewResponseController(rw).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRosemaryarch-Attempt-Id: %s\r\nRosemaryarch-Response-Signature: %s.%s\r\n"+
				"Content-Type: text/plain\r\nConnection: close\r\n\r\n", id, w.id, id)
			_, _ = buffered.Write(plainBody(id))
			if earlier := last.Swap(&id); s.trouble && earlier != nil && answers.Add(1)%unframedEvery == 0 {
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
	for end := time.Now().Add(unframedFor); time.Now().Before(end); time.Sleep(time.Second / unframedRate) {
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
