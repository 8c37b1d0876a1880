package recorder

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
)

const (
	// queueBytes bounds the lines that wait for the output.
	queueBytes = 128 << 10
	// flushInterval batches lines, since each write costs a system call.
	flushInterval = 100 * clock.Millis(1)
	// refillPerSecond and burst bound the volume under load, in lines.
	refillPerSecond = 150
	burst           = 300
)

// Field is one name and value. Names are snake case.
type Field struct {
	Name  string
	text  string
	num   float64
	isNum bool
}

// Text returns a field with a string.
func Text(name, value string) Field { return Field{Name: name, text: value} }

// Number returns a field with a number.
func Number[T ~int | ~int64 | ~float64](name string, value T) Field {
	return Field{Name: name, num: float64(value), isNum: true}
}

// Recorder is safe for concurrent use.
type Recorder struct {
	now     func() time.Time
	node    string
	mu      sync.Mutex
	pending []byte
	tokens  float64
	refill  time.Time
	dropped int
	total   atomic.Int64 // lines left out since the start
	done    chan struct{}
	stopped chan struct{}
	once    sync.Once
}

// New returns a recorder that writes to out until Close.
func New(out io.Writer, node string, now func() time.Time) *Recorder {
	r := &Recorder{
		now: now, node: node, tokens: burst, refill: now(),
		done: make(chan struct{}), stopped: make(chan struct{}),
	}
	go r.run(out)
	return r
}

// Dropped returns the number of lines that were left out.
func (r *Recorder) Dropped() int64 { return r.total.Load() }

// Line writes one line, unless the volume is exceeded.
func (r *Recorder) Line(event string, fields ...Field) { r.line(false, event, fields) }

// Keep writes one line that does not count toward the rate: start, stop,
// reload, a lost or regained dependency.
func (r *Recorder) Keep(event string, fields ...Field) { r.line(true, event, fields) }

func (r *Recorder) line(keep bool, event string, fields []Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.tokens = min(burst, r.tokens+now.Sub(r.refill).Seconds()*refillPerSecond)
	r.refill = now
	if !keep {
		if r.tokens < 1 {
			r.drop()
			return
		}
		r.tokens--
	}
	if len(r.pending) > queueBytes {
		r.drop()
		return
	}
	if r.dropped > 0 {
		lost := r.dropped
		r.dropped = 0
		r.pending = appendLine(r.pending, now, r.node, "lines_left_out", []Field{Number("count", lost)})
	}
	r.pending = appendLine(r.pending, now, r.node, event, fields)
}

func (r *Recorder) drop() {
	r.dropped++
	r.total.Add(1)
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
		if f.isNum {
			b = strconv.AppendFloat(b, f.num, 'f', -1, 64)
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

func (r *Recorder) run(out io.Writer) {
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
			r.total.Add(1)
		}
	}
}

// Close writes what waits, for at most limit, and ends the recorder.
func (r *Recorder) Close(limit clock.Millis) {
	r.once.Do(func() { close(r.done) })
	select {
	case <-r.stopped:
	case <-time.After(limit.Duration()):
	}
}
