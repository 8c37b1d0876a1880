package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// directory asks the machines that serve it where to connect, as clients do.
type directory struct {
	mu        sync.Mutex
	addresses []string
}

// refresh asks the machines in turn until one answers.
func (d *directory) refresh(machines []*machine) {
	c := &http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(machines)) {
		resp, err := c.Get("http://" + machines[i].registry + "/v1/resolve?name=" + host + "&region=kerala-central&zone=ernakulam-a")
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		resp.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			d.mu.Lock()
			d.addresses = body.Addresses
			d.mu.Unlock()
			return
		}
	}
}

func (d *directory) pick() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.addresses) == 0 {
		return ""
	}
	return d.addresses[rand.IntN(len(d.addresses))]
}

func (d *directory) has(n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.addresses) >= n
}

const (
	host      = "ficu95.example"
	clientKey = "n2ctnfzs989anu6wsjnb"
)

// result is what a client has seen of one attempt.
type result struct {
	id       string
	address  string
	reused   bool // the connection had carried an earlier request
	status   int  // 0: no answer
	body     []byte
	header   http.Header
	complete bool
	err      error
	begin    time.Time
	took     time.Duration
}

// send makes one attempt.
func send(t http.RoundTripper, address, method, path, id string, body []byte, deadline time.Duration) result {
	return sendWithKey(t, clientKey, address, method, path, id, body, deadline)
}

// sendWithKey makes one attempt with a key.
func sendWithKey(
	t http.RoundTripper, key, address, method, path, id string, body []byte, deadline time.Duration,
) result {
	res := result{id: id, address: address, begin: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { res.reused = i.Reused }})
	// io.MultiReader hides the type of the body, so that the transport cannot repeat it.
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		res.err = err
		return res
	}
	req.ContentLength = int64(len(body))
	req.Host = host
	req.Header.Set("Rosemaryarch-Attempt-Id", id)
	req.Header.Set("Rosemaryarch-Credential", key)
	req.Header.Set("Rosemaryarch-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := t.RoundTrip(req)
	if err == nil {
		res.status, res.header = resp.StatusCode, resp.Header
		res.body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		res.complete = err == nil
	}
	res.err, res.took = err, time.Since(res.begin)
	return res
}

// events returns the number of events in the body of a stream.
func (r result) events() int { return strings.Count(string(r.body), "\n\n") }
