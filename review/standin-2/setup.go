package main

import (
	"fmt"
	"net/http"
	"time"
)

// contact is contactMs of the deployment.
const contact = 3 * time.Second

// zones are the data centres of the cases.
var zones = []string{"ernakulam-a", "thrissur-b"}

// streamRoute is the path of the route for streams.
const streamPath = "/lohu930/2f"

// config returns the operator's configuration: one route for streams that may be resumed.
func config(version int, timeout time.Duration) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "pathPrefix": "/lohu930/", "type": "streaming", "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 3000, "priority": 1, "service": "huvo11a", "maxAttempts": 3, "public": false,
			"streamResume": true, "targetItlMs": 1200,
		}},
		"services": []any{map[string]any{
			"name": "huvo11a", "healthPath": "/healthz", "maxConnections": 370, "warmupS": 0, "warmupPerS": 0,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{clientKey}}},
	}
}

// addWorkers starts workers and enters them into the store.
func (s *scene) addWorkers(n int) ([]*worker, error) {
	var workers []*worker
	for i := range n {
		w, err := newWorker(fmt.Sprintf("i-%d", i+1), "huvo11a", zones[i%2], s.host(100+i), s.note)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
		s.store.put("servers", w.id, w.entry("ready"))
	}
	return workers, nil
}

// runs returns how often a request has run.
func runs(workers []*worker, id string) int {
	n := 0
	for _, w := range workers {
		n += w.runs(id)
	}
	return n
}

// newTransport returns a client's connections, kept for less than the idle time of the
// configuration.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 12 * time.Second, DisableCompression: true}
}
