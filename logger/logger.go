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
	// are dropped, whether or not they are rate-limited.
	maxPendingBytes = 128 << 10
	// flushInterval is the time between two writes to the output. Each write of a
	// batch costs a system call.
	flushInterval = 100 * clock.Millis(1)
	// linesPerSecond and burstLines are the rate and the size of the token bucket
	// that limits the lines of Log.
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

// New returns a logger that writes to out until Close. Each line carries the
// node name and the time given by now.
func New(out io.Writer, node string, now func() time.Time) *Logger {
	l := &Logger{
		now: now, node: node, tokens: burstLines, refilledAt: now(),
		done: make(chan struct{}), stopped: make(chan struct{}),
	}
	go l.run(out)
	return l
}

// Dropped returns the number of dropped lines. A failed write to the output
// counts as one.
func (l *Logger) Dropped() int64 { return l.droppedTotal.Load() }

// Log writes a line. It drops the line if the rate limit or the buffer size is
// exceeded.
func (l *Logger) Log(event string, fields ...Field) { l.write(false, event, fields) }

// LogUnlimited writes a line that is exempt from the rate limit but not from the
// buffer size. It is for rare and important events: start, stop, reload, a lost
// or regained dependency.
func (l *Logger) LogUnlimited(event string, fields ...Field) { l.write(true, event, fields) }

func (l *Logger) write(unlimited bool, event string, fields []Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.tokens = min(burstLines, l.tokens+now.Sub(l.refilledAt).Seconds()*linesPerSecond)
	l.refilledAt = now
	if !unlimited {
		if l.tokens < 1 {
			l.drop()
			return
		}
		l.tokens--
	}
	if len(l.pending) > maxPendingBytes {
		l.drop()
		return
	}
	if l.dropped > 0 {
		dropped := l.dropped
		l.dropped = 0
		l.pending = appendLine(l.pending, now, l.node, "lines_left_out", []Field{Number("count", dropped)})
	}
	l.pending = appendLine(l.pending, now, l.node, event, fields)
}

func (l *Logger) drop() {
	l.dropped++
	l.droppedTotal.Add(1)
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

func (l *Logger) run(out io.Writer) {
	defer close(l.stopped)
	t := time.NewTicker(flushInterval.Duration())
	defer t.Stop()
	for last := false; !last; {
		select {
		case <-t.C:
		case <-l.done:
			last = true
		}
		l.mu.Lock()
		batch := l.pending
		l.pending = nil
		l.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if _, err := out.Write(batch); err != nil {
			l.droppedTotal.Add(1)
		}
	}
}

// Close stops the logger. It waits until the buffered lines are written, but no
// longer than limit.
func (l *Logger) Close(limit clock.Millis) {
	l.once.Do(func() { close(l.done) })
	select {
	case <-l.stopped:
	case <-time.After(limit.Duration()):
	}
}
