package logger

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// maxPendingBytes is the size of the buffered lines above which further lines
	// are dropped.
	maxPendingBytes = 128 << 10
	// flushInterval is the time between two writes to the output. Each write of a
	// batch costs a system call.
	flushInterval = 100 * clock.Millis(1)
	// linesPerSecond and burstLines are the rate and size of the token bucket that
	// limits the volume of rate-limited lines.
	linesPerSecond = 150
	burstLines     = 300
)

// Field is a named value in a log line. Names are in snake case.
type Field struct {
	Name     string
	text     string
	number   float64
	isNumber bool
}

// Text returns a field with a string value.
func Text(name, value string) Field { return Field{Name: name, text: value} }

// Number returns a field with a numeric value.
func Number[T ~int | ~int64 | ~float64](name string, value T) Field {
	return Field{Name: name, number: float64(value), isNumber: true}
}

// Logger writes the log lines of one instance. It is safe for concurrent use.
type Logger struct {
	now          func() time.Time
	node         string // name of the instance, in each line
	mu           sync.Mutex
	pending      []byte        // encoded lines to be written
	tokens       float64       // lines that the rate limit allows now
	refilledAt   time.Time     // last update of tokens
	dropped      int           // lines dropped since the last one that was buffered
	droppedTotal atomic.Int64  // lines dropped since the start, plus failed writes
	done         chan struct{} // closed by Close
	stopped      chan struct{} // closed after the last write
	once         sync.Once
}

// New returns a recorder that writes to out until Close. Each line carries the
// node name and the time given by now.
func New(out io.Writer, node string, now func() time.Time) *Logger {
	r := &Logger{
		now: now, node: node, tokens: burstLines, refilledAt: now(),
		done: make(chan struct{}), stopped: make(chan struct{}),
	}
	go r.run(out)
	return r
}

// Dropped returns the number of dropped lines. A failed write to the output
// counts as one.
func (r *Logger) Dropped() int64 { return r.droppedTotal.Load() }

// Log writes a line, unless the rate limit or the buffer size is exceeded.
func (r *Logger) Log(event string, fields ...Field) { r.write(false, event, fields) }

// LogUnlimited writes a line that is exempt from the rate limit, for rare and important
// events: start, stop, reload, a lost or regained dependency.
func (r *Logger) LogUnlimited(event string, fields ...Field) { r.write(true, event, fields) }

func (r *Logger) write(unlimited bool, event string, fields []Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.tokens = min(burstLines, r.tokens+now.Sub(r.refilledAt).Seconds()*linesPerSecond)
	r.refilledAt = now
	if !unlimited {
		if r.tokens < 1 {
			r.drop()
			return
		}
		r.tokens--
	}
	if len(r.pending) > maxPendingBytes {
		r.drop()
		return
	}
	if r.dropped > 0 {
		dropped := r.dropped
		r.dropped = 0
		r.pending = appendLine(r.pending, now, r.node, "lines_left_out", []Field{Number("count", dropped)})
	}
	r.pending = appendLine(r.pending, now, r.node, event, fields)
}

func (r *Logger) drop() {
	r.dropped++
	r.droppedTotal.Add(1)
}

func appendLine(b []byte, now time.Time, node, event string, fields []Field) []byte {
	b = append(b, `{"time":"`...)
	b = now.UTC().AppendFormat(b, "2006-01-02T15:04:05.000Z")
	b = append(b, `","node":`...)
	b = strconv.AppendQuote(b, node)
	b = append(b, `,"event":`...)
	b = strconv.AppendQuote(b, event)
	for _, f := range fields {
		b = append(b, ',')
		b = strconv.AppendQuote(b, f.Name)
		b = append(b, ':')
		if f.isNumber {
			b = strconv.AppendFloat(b, f.number, 'f', -1, 64)
		} else {
			b = appendText(b, f.text)
		}
	}
	return append(b, '}', '\n')
}

const hexDigits = "0123456789abcdef"

// appendText appends s as a JSON string.
func appendText(b []byte, s string) []byte {
	b = append(b, '"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', byte(c))
		case c < 0x20:
			b = append(b, `\u00`...)
			b = append(b, hexDigits[c>>4], hexDigits[c&15])
		default:
			b = append(b, string(c)...)
		}
	}
	return append(b, '"')
}

func (r *Logger) run(out io.Writer) {
	defer close(r.stopped)
	t := time.NewTicker(flushInterval.Duration())
	defer t.Stop()
	for last := false; !last; {
		select {
		case <-t.C:
		case <-r.done:
			last = true
		}
		r.mu.Lock()
		batch := r.pending
		r.pending = nil
		r.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if _, err := out.Write(batch); err != nil {
			r.droppedTotal.Add(1)
		}
	}
}

// Close stops the recorder. It waits until the buffered lines are written, but
// no longer than limit.
func (r *Logger) Close(limit clock.Millis) {
	r.once.Do(func() { close(r.done) })
	select {
	case <-r.stopped:
	case <-time.After(limit.Duration()):
	}
}
