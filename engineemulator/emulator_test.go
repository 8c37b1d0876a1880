package engineemulator

import (
	"bytes"
	"context"
	"io"
	"iter"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/framer"
	"rosemaryarch.example/rosemaryarch/streamer"
)

const version = "assess@1"

// engine is an emulator served over HTTP, whose sleeps advance a manual clock
// instead of taking time, unless the test sets Options.Sleep.
type engine struct {
	*Emulator
	client engineclient.Client
	clock  *clock.Manual
}

func start(t *testing.T, o Options) engine {
	t.Helper()
	manual := clock.NewManual(1000)
	o.Now = manual.Now
	o.Versions = append(o.Versions, version)
	if o.Sleep == nil {
		o.Sleep = func(ctx context.Context, d clock.Millis) error {
			manual.Advance(d)
			return ctx.Err()
		}
	}
	e := New(o)
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	t.Cleanup(func() { e.SetFaults(Faults{Down: true}) })
	return engine{e, engineclient.NewHTTP(srv.URL, "key", srv.Client()), manual}
}

func request(id string, tokens int) streamer.Request {
	return streamer.Request{
		RequestID: id, AttemptID: "i/1/" + id, Version: version, Prompt: "roof of " + id, MaxTokens: tokens,
	}
}

// consume passes events to s and returns how s classifies the end of the stream.
func consume(s *streamer.Streamer, events iter.Seq2[framer.EngineEvent, error]) error {
	for event, err := range events {
		if err != nil {
			return s.Close(err)
		}
		if _, err := s.Accept(event); err != nil {
			return err
		}
	}
	return s.Close(nil)
}

// blockingSleep returns a sleep function that blocks until the second function is
// called or its context ends.
func blockingSleep() (func(context.Context, clock.Millis) error, func()) {
	open := make(chan struct{})
	return func(ctx context.Context, _ clock.Millis) error {
		select {
		case <-open:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}, func() { close(open) }
}

// TestColdStart guards against a cold engine that accepts attempts above its
// limit, that never becomes warm, or that counts its cold load wrongly.
func TestColdStart(t *testing.T) {
	for name, cutAboveColdLimit := range map[string]bool{"refuses": false, "cuts all streams": true} {
		t.Run(name, func(t *testing.T) {
			sleep, unblock := blockingSleep()
			e := start(t, Options{ColdLimit: 2, WarmAfter: 2, CutAboveColdLimit: cutAboveColdLimit, Sleep: sleep})
			streams := make([]iter.Seq2[framer.EngineEvent, error], 2)
			for i, id := range []string{"a", "b"} {
				var err error
				if streams[i], err = e.client.Generate(t.Context(), request(id, 5)); err != nil {
					t.Fatal(err)
				}
			}
			want := engineclient.ErrCold
			if cutAboveColdLimit {
				want = engineclient.ErrOutcomeUnknown
			}
			if _, err := e.client.Generate(t.Context(), request("c", 5)); !errors.Is(err, want) {
				t.Errorf("above the limit: got %v, want %v", err, want)
			}
			unblock()
			for i, id := range []string{"a", "b"} {
				err := consume(streamer.New(request(id, 5)), streams[i])
				if got := err != nil; got != cutAboveColdLimit {
					t.Errorf("stream %s: got %v, want a failure: %t", id, err, cutAboveColdLimit)
				}
			}
			if got, want := [2]int{e.MaxColdLoad(), e.RefusedCold()}, [2]int{3, 1}; got != want {
				t.Errorf("maximum cold load and refused attempts: got %v, want %v", got, want)
			}
			l, err := e.client.Load(t.Context())
			if err != nil || l.Warm == cutAboveColdLimit {
				t.Errorf("warm after two answers: got %t, %v, want %t", l.Warm, err, !cutAboveColdLimit)
			}
			e.Restart()
			after, _ := e.client.Load(t.Context())
			if after.Warm || after.RestartID == l.RestartID {
				t.Errorf("after a restart: got %+v, want cold with another id than %q", after, l.RestartID)
			}
		})
	}
}

// TestMakeCold guards against a cold load that includes the attempts that arrived
// before the engine became cold: their sender could not have known.
func TestMakeCold(t *testing.T) {
	sleep, unblock := blockingSleep()
	e := start(t, Options{Warm: true, ColdLimit: 1, Sleep: sleep})
	defer unblock()
	for _, id := range []string{"a", "b"} {
		if _, err := e.client.Generate(t.Context(), request(id, 5)); err != nil {
			t.Fatal(err)
		}
	}
	e.MakeCold()
	if _, err := e.client.Generate(t.Context(), request("c", 5)); !errors.Is(err, engineclient.ErrCold) {
		t.Errorf("engine that became cold above its limit: got %v, want ErrCold", err)
	}
	if got, want := [2]int{e.MaxColdLoad(), e.RefusedCold()}, [2]int{1, 1}; got != want {
		t.Errorf("maximum cold load and refused attempts: got %v, want %v", got, want)
	}
}

// TestBatchAndPriority guards against a batch above MaxBatch and against a queue
// that ignores priorities.
func TestBatchAndPriority(t *testing.T) {
	sleep, unblock := blockingSleep()
	e := start(t, Options{Warm: true, MaxBatch: 1, MaxQueue: 2, Sleep: sleep})
	var done sync.WaitGroup
	for i, id := range []string{"first", "ordinary", "urgent"} {
		q := request(id, 3)
		q.Priority = i // the urgent one arrives last
		done.Go(func() {
			events, err := e.client.Generate(t.Context(), q)
			if err == nil {
				err = consume(streamer.New(q), events)
			}
			if err != nil {
				t.Error(err)
			}
		})
		for l := (engineclient.Load{}); l.Running+l.Queued <= i; l, _ = e.client.Load(t.Context()) {
			continue
		}
	}
	e.mu.Lock()
	got := []string{e.queue[0].request.RequestID, e.queue[1].request.RequestID}
	e.mu.Unlock()
	if g, w := strings.Join(got, " "), "urgent ordinary"; g != w {
		t.Errorf("queue: got %q, want %q", g, w)
	}
	if _, err := e.client.Generate(t.Context(), request("more", 3)); !errors.Is(err, engineclient.ErrQueueFull) {
		t.Errorf("full queue: got %v, want ErrQueueFull", err)
	}
	unblock()
	done.Wait()
	if got, want := e.MaxRunning(), 1; got != want {
		t.Errorf("maximum running: got %d, want %d", got, want)
	}
}

// TestCommands guards against an engine that checks fencing numbers but runs an
// outdated command, against a version that is ready before LoadTime or reported
// before LoadDelay has passed, and against wrong counts of calls.
func TestCommands(t *testing.T) {
	cases := map[string]struct {
		options   Options
		wantStale error
		wantCount int
	}{
		"checks fencing numbers":  {Options{}, engineclient.ErrFenced, 0},
		"ignores fencing numbers": {Options{IgnoreFencing: true}, nil, 1},
		"wrong key":               {Options{CommandKey: "other"}, engineclient.ErrForbidden, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.options.LoadTime, c.options.LoadDelay = 500, 200
			e, ctx := start(t, c.options), t.Context()
			err := e.client.Command(ctx, 7, engineclient.ActionLoad, "assess@2")
			if c.options.CommandKey == "" && err != nil {
				t.Fatal(err)
			}
			if err := e.client.Command(ctx, 6, engineclient.ActionUnload, "x@1"); !errors.Is(err, c.wantStale) {
				t.Errorf("outdated fencing number: got %v, want %v", err, c.wantStale)
			}
			if got := e.StaleCommands(); got != c.wantCount {
				t.Errorf("stale commands: got %d, want %d", got, c.wantCount)
			}
			for _, wait := range []clock.Millis{0, 499, 200, 1} {
				now := e.clock.Advance(wait)
				l, err := e.client.Load(ctx)
				listed := strings.Contains(strings.Join(l.Versions, " "), "assess@2")
				if want := c.options.CommandKey == "" && now >= 1700; err != nil || listed != want {
					t.Errorf("at %d: got versions %v, %v, want assess@2 listed: %t", now, l.Versions, err, want)
				}
				if want := name == "checks fencing numbers" && now >= 1200; (l.FencingNumber == 7) != want {
					t.Errorf("at %d: got fencing number %d, want 7: %t", now, l.FencingNumber, want)
				}
			}
			q := request("a", 3)
			q.Version = "assess@3"
			if _, err := e.client.Generate(ctx, q); !errors.Is(err, engineclient.ErrNotLoaded) {
				t.Errorf("version that is not loaded: got %v, want ErrNotLoaded", err)
			}
			if got := [2]int{e.ReceivedCount("", 1699), e.ReceivedCount("assess@3", 1700)}; got != [2]int{1, 0} {
				t.Errorf("received after 1699 and 1700: got %v, want [1 0]", got)
			}
		})
	}
}

// firstToken returns the time in ms to the first token of a prompt of about 2000 bytes.
func firstToken(t *testing.T, e engine, id string) clock.Millis {
	t.Helper()
	q := request(id, 0)
	q.Prompt += strings.Repeat(" long", 400)
	from := e.clock.Now()
	events, err := e.client.Generate(t.Context(), q)
	if err == nil {
		err = consume(streamer.New(q), events)
	}
	if err != nil {
		t.Fatal(err)
	}
	return e.clock.Now() - from
}

// TestPrefixCache guards against a cached prefix that does not shorten the time
// to the first token, an unbounded cache, cache events that are listed before
// CacheEventDelay or despite DropEvents, and a cold engine that is not slower.
func TestPrefixCache(t *testing.T) {
	e := start(t, Options{CacheEntries: 2, CacheEventDelay: 5000, Warm: true})
	other := start(t, Options{})
	first := func(id string) clock.Millis { return firstToken(t, e, id) }
	uncached, cached := first("a"), first("a")
	if cached >= uncached {
		t.Errorf("first token with a cached prefix: got %d ms, want under %d ms", cached, uncached)
	}
	key := engineclient.PrefixKey("roof of a" + strings.Repeat(" long", 400))
	state, err := e.client.ExportCache(t.Context(), key)
	if err == nil {
		err = other.client.ImportCache(t.Context(), key, state)
	}
	copied, err2 := other.client.ExportCache(t.Context(), key)
	if err != nil || err2 != nil || !bytes.Equal(copied, state) {
		t.Errorf("export and import: got %d bytes, %v, %v, want %d", len(copied), err, err2, len(state))
	}
	first("b")
	first("c") // evicts a
	if events, err := e.client.CacheEvents(t.Context(), 0); err != nil || len(events) != 0 {
		t.Errorf("events before the delay: got %v, %v, want none", events, err)
	}
	e.SetFaults(Faults{DropEvents: 3})
	e.clock.Advance(5000)
	events, err := e.client.CacheEvents(t.Context(), 1)
	if err != nil || len(events) != 2 || events[1].Sequence != 4 || !events[1].Evicted || events[1].Prefix != key {
		t.Errorf("events after 1: got %+v, %v, want 2 and the eviction 4 of %s", events, err, key)
	}
	if got := first("a"); got != uncached {
		t.Errorf("first token after the eviction: got %d ms, want %d ms", got, uncached)
	}
	e.MakeCold()
	if got, want := first("new"), 4*uncached; got < want {
		t.Errorf("first token while cold: got %d ms, want at least %d ms", got, want)
	}
}

// TestBadVersionAndScore guards against a bad version whose answers Score does
// not detect, and against scores that miss their mean.
func TestBadVersionAndScore(t *testing.T) {
	e := start(t, Options{Warm: true})
	sums := map[bool]float64{}
	for _, bad := range []bool{false, true} {
		faults := Faults{}
		if bad {
			faults.BadVersion = version
		}
		e.SetFaults(faults)
		const rounds = 200
		for i := range rounds {
			q := request(strings.Repeat("x", i+1), 4)
			s := streamer.New(q)
			events, err := e.client.Generate(t.Context(), q)
			if err == nil {
				err = consume(s, events)
			}
			if err != nil {
				t.Fatal(err)
			}
			sums[bad] += Score(1, 0.9, q.RequestID, s.Text()) / rounds
		}
	}
	if got := sums[false]; got < 0.88 || got > 0.92 {
		t.Errorf("mean score: got %.3f, want 0.9", got)
	}
	if got := sums[true]; got < 0.16 || got > 0.24 {
		t.Errorf("mean score of the bad version: got %.3f, want 0.2", got)
	}
}

// TestBadInput guards against invalid input that makes the engine panic or
// execute a request.
func TestBadInput(t *testing.T) {
	e := start(t, Options{})
	for name, c := range map[string]struct{ path, body string }{
		"not json":       {"/v1/generate", "{"},
		"no ids":         {"/v1/generate", `{"version":"assess@1"}`},
		"other prior":    {"/v1/generate", `{"request_id":"a","attempt_id":"b","version":"assess@1","prior_text":"x "}`},
		"unknown resume": {"/v1/resume", `{"request_id":"a","attempt_id":"b"}`},
		"unknown action": {"/v1/commands", `{"action":"explode"}`},
	} {
		t.Run(name, func(t *testing.T) {
			rec := httptest.NewRecorder()
			e.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body)))
			body, _ := io.ReadAll(rec.Body)
			if rec.Code < 400 || rec.Code >= 500 || !strings.Contains(string(body), `"run":"no"`) {
				t.Errorf("got %d %s, want a refusal that says not run", rec.Code, body)
			}
		})
	}
	if got := e.ReceivedCount("", 0); got != 0 {
		t.Errorf("received: got %d, want 0", got)
	}
}

// TestFirstTokenDelayAndErrorRate guards against a first token delay or an error
// rate that is not applied, and against faults that outlast Faults.MaxStreams.
func TestFirstTokenDelayAndErrorRate(t *testing.T) {
	e := start(t, Options{Warm: true, Seed: 1})
	normal := firstToken(t, e, "a")
	e.SetFaults(Faults{FirstTokenDelay: 700, MaxStreams: 1})
	for i, want := range []clock.Millis{normal + 700, normal} {
		if got := firstToken(t, e, strings.Repeat("b", i+1)); got < want-1 || got > want+1 {
			t.Errorf("first token %d: got %d ms, want %d ms", i, got, want)
		}
	}
	e.SetFaults(Faults{ErrorRate: 0.25})
	failed := 0
	for range 200 {
		events, err := e.client.Generate(t.Context(), request("c", 0))
		if err == nil {
			err = consume(streamer.New(request("c", 0)), events)
		}
		if err != nil {
			failed++
		}
	}
	if failed < 35 || failed > 65 {
		t.Errorf("failed: got %d of 200, want about 50", failed)
	}
}
