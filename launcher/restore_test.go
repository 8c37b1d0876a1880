package launcher

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/platform"
)

// startInstances starts n instances in data centre a on loopback addresses from
// 127.0.0.first on, waits until they serve, and returns the URL of each. They stop
// at the end of the test.
func (s *testSite) startInstances(n, first int, outs []output) []string {
	s.t.Helper()
	p := freePorts(s.t, 4)
	urls := make([]string, n)
	var ended sync.WaitGroup
	var stops []chan os.Signal
	s.t.Cleanup(func() {
		for _, c := range stops {
			c <- syscall.SIGTERM
		}
		ended.Wait()
	})
	for i := range n {
		ip := fmt.Sprintf("127.0.0.%d", first+i)
		l, err := New(s.settings(fmt.Sprint("edge-", i), ip, p), &outs[i])
		if err != nil {
			s.t.Fatal(err)
		}
		signals := make(chan os.Signal, 1)
		stops = append(stops, signals)
		ended.Go(func() {
			if err := l.serve(signals); err != nil {
				s.t.Errorf("instance %d: %v", i, err)
			}
		})
		urls[i] = fmt.Sprintf("http://%s:%d", ip, p[1])
	}
	for i, url := range urls {
		eventually(s.t, 8*time.Second, fmt.Sprint("service of instance ", i), func() bool {
			status, _ := post(url+"/p/x", "key-1")
			return status == 200
		})
	}
	return urls
}

// configSpec returns a configuration with the given key and a route for each path.
func configSpec(version int, key string, paths ...string) map[string]any {
	var routes []map[string]any
	for _, path := range paths {
		routes = append(routes, map[string]any{
			"name": path, "host": "h", "pathPrefix": path, "type": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 100,
			"service": "s", "maxAttempts": 1,
		})
	}
	return map[string]any{
		"version": version, "limits": map[string]int{"maxBodyBytes": 1000}, "services": []map[string]any{{"name": "s"}},
		"routes": routes, "tenants": []map[string]any{{"name": "w", "apiKeys": []string{key}}},
	}
}

// Guards against a configuration that is not adopted because the store, which has
// come back from an older copy, gives out revisions again: neither its watch nor a
// comparison of revisions shows it (soak rules CONFIG, DENIED).
func TestConfigurationAfterRestore(t *testing.T) {
	before, after := configSpec(6, "key-1", "/p/"), configSpec(8, "key-1", "/p/", "/q/")
	tests := map[string]struct {
		address int
		// rewritten configuration and number of objects that are written after it
		// before a reader calls; with many, a watch from an old revision is answered
		rewritten any
		others    int
		later     any // configuration that is written when all have read the store
	}{
		"the watch goes on behind it":         {41, after, 12, nil},
		"its revision was given out before":   {51, before, 0, after},
		"its revision is the one in force":    {61, before, 3, after},
		"written again after the return only": {71, nil, 0, after},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			var outs [2]output
			urls := s.startInstances(2, tt.address, outs[:])
			old := s.emulator.Copy()
			for v := 2; v <= 6; v++ {
				s.put(platform.ConfigKind, platform.ConfigName, configSpec(v, "key-1", "/p/"))
			}
			eventually(t, 2*time.Second, "version 6", func() bool {
				return strings.Contains(outs[0].String(), `"version":6`) && strings.Contains(outs[1].String(), `"version":6`)
			})
			err := s.emulator.Restore(old, func(put func(kind, name string, spec any)) {
				if tt.rewritten != nil {
					put(platform.ConfigKind, platform.ConfigName, tt.rewritten)
				}
				for i := range tt.others {
					put("others", fmt.Sprint(i), i)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			if tt.later != nil {
				time.Sleep(1500 * time.Millisecond)
				s.put(platform.ConfigKind, platform.ConfigName, tt.later)
			}
			for i, url := range urls {
				eventually(t, 2*time.Second, fmt.Sprint("new route at instance ", i), func() bool {
					status, _ := post(url+"/q/x", "key-1")
					return status == 200
				})
			}
		})
	}
}

// Guards against requests to an endpoint that the older copy shows as ready: it was
// leaving, or gone, before the store came back (soak rule DRAIN).
func TestLeavingEndpointAfterRestore(t *testing.T) {
	tests := map[string]struct {
		address int
		leave   func(s *testSite, endpoint map[string]any)
	}{
		"leaving": {81, func(s *testSite, endpoint map[string]any) {
			endpoint["phase"], endpoint["sequence"] = "draining", 2
			s.put(platform.EndpointKind, "i-2", endpoint)
		}},
		"gone": {91, func(s *testSite, _ map[string]any) { s.emulator.Delete(platform.EndpointKind, "i-2") }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			leaving := &limitedEndpoint{}
			server := httptest.NewServer(leaving)
			t.Cleanup(server.Close)
			endpoint := map[string]any{
				"service": "s", "address": server.Listener.Addr().String(), "zone": "a", "version": "v1", "maxBatch": 4,
				"phase": "ready", "warmupLeftMs": 0, "sequence": 1, "born": 1000,
			}
			s.put(platform.EndpointKind, "i-2", endpoint)
			var outs [2]output
			urls := s.startInstances(2, tt.address, outs[:])
			// An entry that disappears within 2.2 s of the first contact with the store may
			// have expired in an outage, and is kept that long.
			time.Sleep(2500 * time.Millisecond)
			old := s.emulator.Copy()
			s.put(platform.ConfigKind, platform.ConfigName, configSpec(2, "key-1", "/p/"))
			tt.leave(s, endpoint)
			time.Sleep(1200 * time.Millisecond)
			if err := s.emulator.Restore(old, func(put func(kind, name string, spec any)) {
				put(platform.ConfigKind, platform.ConfigName, configSpec(2, "key-1", "/p/"))
			}); err != nil {
				t.Fatal(err)
			}
			since := time.Now()
			for time.Since(since) < 3500*time.Millisecond {
				for _, url := range urls {
					post(url+"/p/x", "key-1")
				}
				time.Sleep(20 * time.Millisecond)
			}
			if got, _ := leaving.counts(since, time.Second); got > 0 {
				t.Errorf("requests to an endpoint that has left: got %d, want 0", got)
			}
		})
	}
}

// Guards against orders of the operator that do not hold while the older copy lacks
// them (soak rules EVAC, EXPOSURE), and against a phase of a roll-out, and objects of
// instances, that are lost with what the program had written.
func TestOrdersAfterRestore(t *testing.T) {
	s := newSite(t)
	evacuated := &limitedEndpoint{}
	server := httptest.NewServer(evacuated)
	t.Cleanup(server.Close)
	s.put(platform.EndpointKind, "i-2", map[string]any{
		"service": "s", "address": server.Listener.Addr().String(), "zone": "a", "version": "v1", "maxBatch": 4,
		"phase": "ready", "warmupLeftMs": 0, "sequence": 1, "born": 1000,
	})
	old := s.emulator.Copy()
	var outs [2]output
	urls := s.startInstances(2, 101, outs[:])
	order := map[string]any{"service": "s", "target": "v0", "durationS": 1}
	s.put(platform.EvacuationKind, "a", map[string]any{})
	s.put(platform.RolloutKind, "s", order)
	eventually(t, 8*time.Second, "a finished roll-out", func() bool {
		return finished(s.emulator.Status(platform.RolloutKind, "s"))
	})
	phase := string(s.emulator.Status(platform.RolloutKind, "s"))
	since := time.Now()
	if err := s.emulator.Restore(old, nil); err != nil {
		t.Fatal(err)
	}
	for time.Since(since) < 1500*time.Millisecond {
		for _, url := range urls {
			post(url+"/p/x", "key-1")
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.put(platform.EvacuationKind, "a", map[string]any{})
	s.put(platform.RolloutKind, "s", order)
	eventually(t, 4*time.Second, "the phase of the roll-out", func() bool {
		return string(s.emulator.Status(platform.RolloutKind, "s")) == phase
	})
	if got, _ := evacuated.counts(since, time.Second); got > 0 {
		t.Errorf("requests to an evacuated data centre: got %d, want 0", got)
	}
	eventually(t, 5*time.Second, "the objects of the instances", func() bool {
		return s.emulator.Exists(platform.InstanceKind, "edge-0") && s.emulator.Exists(platform.InstanceKind, "edge-1")
	})
}

// finished reports whether the status of a roll-out states a final phase.
func finished(status []byte) bool {
	return strings.Contains(string(status), "completed") || strings.Contains(string(status), "rolled_back")
}

// Guards against a process that starts while the store shows an older copy, and that takes a
// revoked key of it for a valid one (CONFIG, review/8). Once the era is recorded as settled, a
// process serves without delay.
func TestStartAfterRestore(t *testing.T) {
	s := newSite(t)
	old := s.emulator.Copy() // with key-1
	s.put(platform.ConfigKind, platform.ConfigName, configSpec(2, "key-2", "/p/"))
	if err := s.emulator.Restore(old, nil); err != nil {
		t.Fatal(err)
	}
	start := func(ip string) (url string, out *output) {
		p := freePorts(t, 4)
		out = new(output)
		l, err := New(s.settings("edge-"+ip, ip, p), out)
		if err != nil {
			t.Fatal(err)
		}
		signals := make(chan os.Signal, 1)
		var ended sync.WaitGroup
		ended.Go(func() {
			if err := l.serve(signals); err != nil {
				t.Error(err)
			}
		})
		t.Cleanup(func() {
			signals <- syscall.SIGTERM
			ended.Wait()
		})
		return fmt.Sprintf("http://%s:%d/p/x", ip, p[1]), out
	}
	url, out := start("127.0.0.111")
	logged := func(event string) func() bool {
		return func() bool { return strings.Contains(out.String(), `"event":"`+event+`"`) }
	}
	eventually(t, 2*time.Second, "copy read", logged("endpoints_listed"))
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if got, body := post(url, "key-1"); got != 503 && got != 0 {
			t.Fatalf("revoked key before the operator has written again: got %d %q, want 503", got, body)
		}
	}
	s.put(platform.ConfigKind, platform.ConfigName, configSpec(2, "key-2", "/p/"))
	eventually(t, 5*time.Second, "service after the era has settled", func() bool {
		got, _ := post(url, "key-2")
		return got == 200
	})
	if got, _ := post(url, "key-1"); got != 401 {
		t.Errorf("revoked key: got %d, want 401", got)
	}
	eventually(t, 3*time.Second, "record of the era", logged("era_recorded"))
	begin := time.Now()
	next, _ := start("127.0.0.112")
	eventually(t, 5*time.Second, "service of a process that starts later", func() bool {
		got, _ := post(next, "key-2")
		return got == 200
	})
	if took := time.Since(begin); took >= 3*time.Second {
		t.Errorf("a process that starts in a settled era serves after %v, want less than an era takes to settle", took)
	}
}
