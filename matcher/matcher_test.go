package matcher

import (
	"fmt"
	"math"
	"testing"
)

func table() *Table {
	return New(Config{
		Version: 7,
		Routes: []Route{
			{Name: "short", Host: "a.example", PathPrefix: "/x/"},
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
			{Name: "other host", Host: "B.example", PathPrefix: "/x/"},
			{Name: "root", Host: "c.example", PathPrefix: "/"},
		},
		Workspaces: map[string]Workspace{"k": {Name: "w"}},
	})
}

// Guards against a route of another host, of a shorter prefix, or of a prefix
// that ends inside a path element.
func TestMatch(t *testing.T) {
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":           {"a.example", "/x/y/1", "long"},
		"shorter prefix":           {"a.example", "/x/z", "short"},
		"prefix inside an element": {"a.example", "/xy/1", ""},
		"prefix without slash":     {"a.example", "/x", ""},
		"port":                     {"a.example:80", "/x/1", "short"},
		"case of the host":         {"b.EXAMPLE", "/x/1", "other host"},
		"unknown host":             {"d.example", "/x/1", ""},
		"encoded slash":            {"a.example", "/x%2Fy/1", ""},
		"dots are not resolved":    {"a.example", "/x/../y/", "short"},
		"root":                     {"c.example", "/any", "root"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := table().Match(tt.host, tt.path); r != nil {
				got = r.Name
			}
			if got != tt.want {
				t.Errorf("route: got %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against shares of a split route that differ from its weights, and
// against a key that is served by several services.
func TestServiceFor(t *testing.T) {
	r := Route{Backends: []Backend{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]float64{}
	const requests = 20000
	for i := range requests {
		key := fmt.Sprint(i)
		s := r.ServiceFor(key)
		counts[s]++
		if again := r.ServiceFor(key); again != s {
			t.Fatalf("key %q: got %q and %q", key, s, again)
		}
	}
	for s, want := range map[string]float64{"a": 0.9, "b": 0.1, "c": 0} {
		if got := counts[s] / requests; math.Abs(got-want) > 0.01 {
			t.Errorf("share of %s: got %.3f, want %.2f", s, got, want)
		}
	}
	if got := (&Route{}).ServiceFor("k"); got != "" {
		t.Errorf("route without services: got %q", got)
	}
	if got := (&Route{Backends: []Backend{{"a", 0}}}).ServiceFor("k"); got != "a" {
		t.Errorf("single service without weight: got %q, want a", got)
	}
}

// Guards against an unsafe request or a stream that counts as retryable.
func TestRetryable(t *testing.T) {
	tests := map[string]struct {
		route Route
		want  bool
	}{
		"safe":         {Route{Kind: Safe}, true},
		"unsafe":       {Route{Kind: Unsafe, Resumable: true}, false},
		"stream":       {Route{Kind: Stream}, false},
		"resumable":    {Route{Kind: Stream, Resumable: true}, true},
		"unknown kind": {Route{Kind: "new"}, false},
	}
	for name, tt := range tests {
		if got := tt.route.Retryable(); got != tt.want {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
}

// Guards against a route whose prefix is not a prefix of the path.
func FuzzMatch(f *testing.F) {
	f.Add("a.example", "/x/y/")
	f.Add("c.example:1", "//")
	f.Fuzz(func(t *testing.T, host, path string) {
		r := table().Match(host, path)
		if r != nil && (len(path) < len(r.PathPrefix) || path[:len(r.PathPrefix)] != r.PathPrefix) {
			t.Errorf("path %q got route %q", path, r.PathPrefix)
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	t := table()
	b.ReportAllocs()
	for b.Loop() {
		t.Match("a.example", "/x/y/1")
	}
}
