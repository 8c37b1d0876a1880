package launcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/platform/objectemulator"
)

// output holds the log lines of an instance.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// testSite holds a store and an endpoint for instances in the test process. Each
// instance has its own loopback address.
type testSite struct {
	t        *testing.T
	emulator *objectemulator.Emulator
	store    *httptest.Server
	dir      string
}

func newSite(t *testing.T) *testSite {
	t.Helper()
	s := &testSite{t: t, emulator: objectemulator.New(), dir: t.TempDir()}
	s.store = httptest.NewServer(s.emulator)
	t.Cleanup(s.store.CloseClientConnections)
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Rosemaryarch-Attempt-Id", r.Header.Get("Rosemaryarch-Attempt-Id"))
		w.Header().Set("Rosemaryarch-Response-Signature", "s")
		_, _ = io.WriteString(w, "tenant "+r.Header.Get("Rosemaryarch-Tenant"))
	}))
	t.Cleanup(endpoint.Close)
	s.configure(1, "key-1")
	s.put(platform.EndpointKind, "i-1", map[string]any{
		"service": "s", "address": endpoint.Listener.Addr().String(), "zone": "a", "version": "v1", "maxBatch": 4,
		"phase": "ready", "warmupLeftMs": 0, "sequence": 1,
	})
	return s
}

func (s *testSite) put(kind, name string, spec any) {
	s.t.Helper()
	if err := s.emulator.Put(kind, name, spec); err != nil {
		s.t.Fatal(err)
	}
}

func (s *testSite) configure(version int, key string) {
	s.put(platform.ConfigKind, platform.ConfigName, map[string]any{
		"version": version, "limits": map[string]int{"maxBodyBytes": 1000},
		"services": []map[string]any{{"name": "s"}},
		"routes": []map[string]any{{
			"name": "r", "host": "h", "pathPrefix": "/p/", "type": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 100,
			"service": "s", "maxAttempts": 1,
		}},
		"tenants": []map[string]any{{"name": "w", "apiKeys": []string{key}}},
	})
}

// freePorts returns n free TCP ports. All instances use the same ports, each on
// its own address.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	var list []int
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		list = append(list, l.Addr().(*net.TCPAddr).Port)
	}
	return list
}

func (s *testSite) settings(name, ip string, p []int) string {
	text := fmt.Sprintf(`nodeName = %q
zone = "a"
region = "r"
ip = %[2]q
portRange = [%[3]d, %[3]d]
[listen]
frontend = "%[2]s:%[4]d"
readiness = "%[2]s:%[5]d"
registry = "%[2]s:%[6]d"
[bounds]
graceS = 1
configApplyMs = 2000
revokeMs = 5000
retryRatio = 0.9
retryWindowS = 10
retrySlack = 58
warmupOvershoot = 1.5
warmupSlack = 5
sessionTtlS = 5
ttl_max_s = 5
[platform]
address = %[7]q
`, name, ip, p[0], p[1], p[2], p[3], s.store.Listener.Addr().String())
	path := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func post(url, key string) (int, string) {
	r, err := http.NewRequest("POST", url, strings.NewReader("b"))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h"
	r.Header.Set("Rosemaryarch-Attempt-Id", "id-1")
	r.Header.Set("Rosemaryarch-Credential", key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func eventually(t *testing.T, limit time.Duration, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, limit)
}

// Guards the whole path of one instance: settings, store, readiness, directory,
// routes and keys, a configuration that revokes a key, an outage of the store,
// SIGHUP and SIGTERM.
func TestOneInstance(t *testing.T) {
	s := newSite(t)
	p := freePorts(t, 4)
	path := s.settings("edge-1", "127.0.0.1", p)
	var out output
	l, err := New(path, &out)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- l.Run() }()
	front, ready, directory := fmt.Sprintf(
		"http://127.0.0.1:%d",
		p[1],
	), fmt.Sprintf(
		"http://127.0.0.1:%d",
		p[2],
	), fmt.Sprintf(
		"http://127.0.0.1:%d",
		p[3],
	)
	isReady := func() bool {
		resp, err := http.Get(ready + platform.ReadyPath)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == 200
	}
	eventually(t, 3*time.Second, "ready", isReady)
	if status, body := post(front+"/p/x", "key-1"); status != 200 || body != "tenant w" {
		t.Errorf("request: got %d %q, want the endpoint's response", status, body)
	}
	if status, _ := post(front+"/q/x", "key-1"); status != 404 {
		t.Errorf("unknown route: got %d, want 404", status)
	}
	eventually(t, time.Second, "directory", func() bool {
		resp, err := http.Get(directory + platform.DirectoryPath + "?name=h&zone=a&region=r")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var a platform.DirectoryResponse
		return json.NewDecoder(resp.Body).Decode(&a) == nil && len(a.Addresses) == 1 && a.TTL > 0
	})
	s.configure(2, "key-2")
	eventually(t, 2*time.Second, "the revoked key is rejected", func() bool {
		status, _ := post(front+"/p/x", "key-1")
		return status == 401
	})
	s.emulator.SetFault(objectemulator.Unavailable)
	eventually(t, 5*time.Second, "keys are rejected without a recent confirmation", func() bool {
		status, _ := post(front+"/p/x", "key-2")
		return status == 503
	})
	s.emulator.SetFault(objectemulator.NoFault)
	eventually(t, 2*time.Second, "service after the outage", func() bool {
		status, _ := post(front+"/p/x", "key-2")
		return status == 200
	})
	reloadAndStop(t, path, front+"/p/x", &out, isReady, ended)
}

// reloadAndStop makes the settings invalid, reloads them and stops the instance.
func reloadAndStop(t *testing.T, path, url string, out *output, isReady func() bool, ended chan error) {
	t.Helper()
	if err := os.WriteFile(path, []byte("nodeName = 3"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	eventually(
		t,
		time.Second,
		"invalid settings are reported",
		func() bool { return strings.Contains(out.String(), "settings_kept") },
	)
	if status, _ := post(url, "key-2"); status != 200 {
		t.Errorf("with invalid settings: got %d, want 200", status)
	}
	checkMetrics(t, "127.0.0.1")
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	eventually(t, 500*time.Millisecond, "not ready after SIGTERM", func() bool { return !isReady() })
	if status, _ := post(url, "key-2"); status != 200 {
		t.Errorf("right after SIGTERM: got %d, want 200", status)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("end: %v", err)
		}
	case <-time.After(time.Second):
		t.Error("the instance still runs after the grace period")
	}
	events := []string{"started", "configuration_adopted", "store_lost", "store_regained", "stopping", "stopped"}
	for _, event := range events {
		if !strings.Contains(out.String(), `"event":"`+event+`"`) {
			t.Errorf("no log line for %s", event)
		}
	}
}

// checkMetrics checks that the metrics include the latencies by kind of route and
// the ages of the configuration and the endpoints, which operators rely on.
func checkMetrics(t *testing.T, ip string) {
	t.Helper()
	resp, err := http.Get("http://" + net.JoinHostPort(ip, MetricsPort) + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`rosemaryarch_request_seconds_count{kind="unsafe",outcome="2xx",service="s"}`,
		`rosemaryarch_state{name="configuration_age_seconds"}`,
		`rosemaryarch_state{name="endpoints_changed_seconds_ago"}`,
	} {
		if !strings.Contains(string(body), "\n"+want) {
			t.Errorf("metrics lack %s", want)
		}
	}
}

// Guards against a number of store calls that grows with the number of instances:
// the reader's neighbours make only the calls to publish themselves and to list
// the instances.
func TestNeighboursFollowSingleReader(t *testing.T) {
	s := newSite(t)
	p := freePorts(t, 4)
	const instances = 4
	var ended sync.WaitGroup
	outs := make([]output, instances)
	stop := make([]chan os.Signal, instances)
	for i := range instances {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		l, err := New(s.settings(fmt.Sprint("edge-", i), ip, p), &outs[i])
		if err != nil {
			t.Fatal(err)
		}
		stop[i] = make(chan os.Signal, 1)
		ended.Go(func() {
			if err := l.serve(stop[i]); err != nil {
				t.Errorf("instance %d: %v", i, err)
			}
		})
	}
	defer func() {
		for _, c := range stop {
			c <- syscall.SIGTERM
		}
		ended.Wait()
	}()
	for i := range instances {
		eventually(t, 8*time.Second, fmt.Sprint("service of instance ", i), func() bool {
			status, _ := post(fmt.Sprintf("http://127.0.0.%d:%d/p/x", 11+i, p[1]), "key-1")
			return status == 200
		})
	}
	time.Sleep(2 * time.Second)
	before := s.emulator.Calls()
	time.Sleep(3 * time.Second)
	// One reader makes a call every 1.2 s. The lists of instances are additional.
	if got := s.emulator.Calls() - before; got > 8 {
		t.Errorf("calls of %d instances in 3 s: got %d, want at most 8", instances, got)
	}
	s.configure(2, "key-2")
	for i := range instances {
		eventually(t, time.Second, fmt.Sprint("new key at instance ", i), func() bool {
			status, _ := post(fmt.Sprintf("http://127.0.0.%d:%d/p/x", 11+i, p[1]), "key-2")
			return status == 200
		})
	}
}
