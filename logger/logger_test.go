package logger

import (
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
)

// buffer holds the written lines.
type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (s *buffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func (s *buffer) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.text.String()), "\n")
}

// Guards against client-supplied text that makes a line invalid JSON.
func TestLinesAreJSON(t *testing.T) {
	var s buffer
	l := New(&s, "n\"1", time.Now)
	l.Log("request", Text("id", "a\"b\\c\n\x01\xff é"), Number("ms", 12), Number("share", 0.25))
	l.Close(clock.Second)
	var got map[string]any
	if err := json.Unmarshal([]byte(s.lines()[0]), &got); err != nil {
		t.Fatalf("%v in %q", err, s.lines()[0])
	}
	if got["event"] != "request" || got["ms"] != 12.0 || got["share"] != 0.25 ||
		!strings.HasPrefix(got["id"].(string), "a\"b\\c\n\x01") {
		t.Errorf("got %v", got)
	}
}

// blockedWriter is an output whose reader has stopped.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) { <-b.release; return len(p), nil }

// Guards against requests that wait for the log output. When the output's reader
// has stopped, at ten times the usual load, lines are dropped and counted.
func TestFullOutputDoesNotBlock(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	now := time.Unix(0, 0)
	var mu sync.Mutex
	l := New(out, "n", func() time.Time { mu.Lock(); defer mu.Unlock(); return now })
	const lines = 100000
	begin := time.Now()
	for range lines {
		mu.Lock()
		now = now.Add(time.Millisecond)
		mu.Unlock()
		l.Log("request", Text("id", "0123456789abcdef"))
	}
	if took := time.Since(begin); took > 5*time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	if l.Dropped() < lines/2 {
		t.Errorf("dropped lines: got %d of %d, want at least half", l.Dropped(), lines)
	}
	close(out.release)
	l.Close(clock.Second)
}

// Guards against an unbounded log volume under load, against lines that are
// dropped without being counted, and against losing the lines of a start, stop or
// lost dependency because of the load.
func TestVolumeIsBounded(t *testing.T) {
	var s buffer
	now := time.Unix(0, 0)
	l := New(&s, "n", func() time.Time { return now })
	const seconds, perSecond = 10, 1500
	for i := range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		l.Log("request")
		if i%perSecond == 0 {
			time.Sleep(2 * flushInterval.Duration())
		}
	}
	l.LogUnlimited("store_lost")
	l.Close(clock.Second)
	lines := s.lines()
	if most := burstLines + seconds*linesPerSecond*3; len(lines) > most {
		t.Errorf("lines: got %d, want at most %d", len(lines), most)
	}
	if last := lines[len(lines)-1]; !strings.Contains(last, "store_lost") {
		t.Errorf("last line: got %q, want store_lost", last)
	}
	dropped := 0
	written := 0
	for _, line := range lines {
		var x struct {
			Event string
			Count int
		}
		if err := json.Unmarshal([]byte(line), &x); err != nil {
			t.Fatal(err)
		}
		switch x.Event {
		case "lines_left_out":
			dropped += x.Count
		case "request":
			written++
		}
	}
	if got := dropped + written; got != seconds*perSecond {
		t.Errorf("written and dropped lines: got %d, want %d", got, seconds*perSecond)
	}
}

func BenchmarkLine(b *testing.B) {
	l := New(io.Discard, "n", time.Now)
	b.ReportAllocs()
	for b.Loop() {
		l.Log("request", Text("id", "0123456789abcdef"), Number("ms", 12), Text("endpoint", "i-1"))
	}
}
