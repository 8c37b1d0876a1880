package prober

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
)

// BenchmarkRead measures the two reads of one endpoint over loopback, including
// the work of a minimal server, and the size of the response bodies.
func BenchmarkRead(b *testing.B) {
	var bytes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := `{"as_of":1764830000000,"running":12,"queued":3,"warm":true,"restart_id":"r-00000001","role":"both",` +
			`"versions":["large@v12","large@v13","small@v7"],"fencing_number":17}`
		if r.URL.Path != "/v1/load" {
			body = "[]"
		}
		n, _ := w.Write([]byte(body))
		bytes.Add(int64(n))
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	now := clock.Millis(0)
	p := New(Options{
		Engine:        func(address string) engineclient.Client { return engineclient.NewHTTP(address, "key", client) },
		OnLoad:        func(string, engineclient.Load, clock.Millis) {},
		OnCacheEvents: func(string, []engineclient.CacheEvent, clock.Millis) {},
		Now:           func() clock.Millis { return now },
		Interval:      1,
		Timeout:       10 * clock.Second,
	})
	for b.Loop() {
		now++
		p.Tick([]Target{{ID: "a", Address: server.URL}}, now)
		p.Wait()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "body_B/op")
}
