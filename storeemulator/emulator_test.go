package storeemulator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/storeclient"
)

// TestConditionalUpdates guards against a write that ignores the expected version
// and against a lost answer that is reported as a failed write, in process and
// over HTTP.
func TestConditionalUpdates(t *testing.T) {
	inMemory := New()
	overHTTP := New()
	srv := httptest.NewServer(overHTTP)
	defer srv.Close()
	cases := map[string]struct {
		emulator *Emulator
		store    storeclient.Store
	}{
		"memory": {inMemory, inMemory.Store()},
		"http":   {overHTTP, storeclient.NewHTTP(srv.URL, http.DefaultClient)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { checkStore(t, c.emulator, c.store) })
	}
}

// checkStore runs the operations of s against e.
func checkStore(t *testing.T, e *Emulator, s storeclient.Store) {
	t.Helper()
	ctx := context.Background()
	key := "a/b c"
	if _, err := s.Get(ctx, key); !errors.Is(err, storeclient.ErrNotFound) {
		t.Fatalf("get of a missing key: got %v, want ErrNotFound", err)
	}
	v1, err := s.Put(ctx, key, []byte("one"), 0)
	if err != nil {
		t.Fatalf("create: %v", err)
	}
	if _, err := s.Put(ctx, key, []byte("two"), 0); !errors.Is(err, storeclient.ErrConflict) {
		t.Errorf("second create: got %v, want ErrConflict", err)
	}
	e.SetFaults(Faults{LoseWriteAnswers: 1})
	if _, err := s.Put(ctx, key, []byte("two"), v1); !errors.Is(err, storeclient.ErrUnknown) {
		t.Errorf("lost answer: got %v, want ErrUnknown", err)
	}
	o, err := s.Get(ctx, key)
	if got, want := string(o.Value), "two"; err != nil || got != want {
		t.Errorf("after a lost answer: got %q, %v, want %q", got, err, want)
	}
	if got, err := s.Version(ctx, key); err != nil || got != o.Version {
		t.Errorf("version: got %d, %v, want %d", got, err, o.Version)
	}
	if _, err := s.Version(ctx, "missing"); !errors.Is(err, storeclient.ErrNotFound) {
		t.Errorf("version of a missing key: got %v, want ErrNotFound", err)
	}
	found, next, err := s.Watch(ctx, "a/", v1)
	if err != nil || len(found) != 1 || next != o.Version {
		t.Errorf("watch: got %d objects, next %d, %v, want 1, %d", len(found), next, err, o.Version)
	}
	e.SetFaults(Faults{Down: true})
	if _, err := s.List(ctx, ""); !errors.Is(err, storeclient.ErrUnavailable) {
		t.Errorf("list in an outage: got %v, want ErrUnavailable", err)
	}
}
