package splitter

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes limits the size of one event. Input that has no end of an event
// within this size is not an event stream. A router holds one event of each of
// hundreds of streams.
const maxEventBytes = 128 << 10

// readBytes is the largest number of bytes of one read.
const readBytes = 4096

// Errors of a malformed stream.
var (
	// ErrPartial means that the stream ended inside an event.
	ErrPartial = errors.New("splitter: stream ended inside an event")
	// ErrTooLarge means that one event exceeds maxEventBytes.
	ErrTooLarge = errors.New("splitter: event too large")
	// ErrNoMemory means that the buffer may not grow as far as an event needs.
	ErrNoMemory = errors.New("splitter: no memory for the event")
	// ErrStatusLine means that a line is the status line of an HTTP response, which is
	// no line of an event: another response follows the stream.
	ErrStatusLine = errors.New("splitter: status line of a response in the stream")
)

// ErrOrder means that the id of an event is not above that of the event before it,
// or of the position from which the stream resumes.
var ErrOrder = errors.New("splitter: ids of events do not increase")

// statusLinePrefix is the start of the status line of a response.
const statusLinePrefix = "HTTP/1."

// Splitter reads the events of one stream. It is not safe for concurrent use.
type Splitter struct {
	r    io.Reader
	data []byte               // buffered bytes
	from int                  // offset in data of the first event that Next has not returned
	err  error                // first error: of the reader, ErrTooLarge, ErrNoMemory, ErrStatusLine or ErrOrder
	hold func(bytes int) bool // nil: the buffer may grow

	increasing bool  // ids must increase
	last       int64 // id that the next one must exceed, if increasing
}

// SetHold sets a function that is called with the size of the buffer before it grows. If
// it returns false, the stream ends with ErrNoMemory.
func (s *Splitter) SetHold(hold func(bytes int) bool) { s.hold = hold }

// New returns a splitter that reads r.
func New(r io.Reader) *Splitter { return &Splitter{r: r} }

// NewAfter returns a splitter that reads r, a stream whose numeric ids increase and
// are all above id. Events without a numeric id may stand anywhere.
func NewAfter(r io.Reader, id int64) *Splitter { return &Splitter{r: r, increasing: true, last: id} }

// Next blocks until at least one complete event or comment has arrived. It returns
// the bytes of all complete ones so far, the last numeric id among them (-1 if
// there is none), and the number of events, which is 0 if there are only comments.
// The bytes are valid until the next call. The error is io.EOF if the stream ends
// after a complete event, ErrPartial if it ends inside one, ErrTooLarge,
// ErrNoMemory, ErrStatusLine, ErrOrder, or the reader's error.
func (s *Splitter) Next() (events []byte, id int64, count int, err error) {
	for {
		end, n, invalid := s.completeEvents(s.data[s.from:])
		if end > 0 {
			events = s.data[s.from : s.from+end]
			s.from += end
			id = lastID(events)
			s.last = max(s.last, id)
			return events, id, n, nil
		}
		if invalid != nil {
			s.err = invalid
		}
		if s.err != nil {
			if s.err == io.EOF && s.from < len(s.data) {
				return nil, -1, 0, ErrPartial
			}
			return nil, -1, 0, s.err
		}
		s.fill()
	}
}

// Detach leaves the bytes that Next returned last to the caller: they stay valid, and may
// be read by another goroutine, while the splitter continues with a buffer of its own.
func (s *Splitter) Detach() {
	s.data, s.from = bytes.Clone(s.data[s.from:]), 0
}

// fill drops the returned events from the buffer and reads once.
func (s *Splitter) fill() {
	rest := copy(s.data, s.data[s.from:])
	s.data, s.from = s.data[:rest], 0
	if rest > maxEventBytes {
		s.err = ErrTooLarge
		return
	}
	if cap(s.data)-rest < readBytes {
		size := min(2*cap(s.data)+readBytes, maxEventBytes+2*readBytes)
		if s.hold != nil && !s.hold(size) {
			s.err = ErrNoMemory
			return
		}
		grown := make([]byte, rest, size)
		copy(grown, s.data)
		s.data = grown
	}
	n, err := s.r.Read(s.data[rest : rest+readBytes])
	s.data = s.data[:rest+n]
	s.err = err
}

// completeEvents returns the length in bytes of the complete events and comments
// at the start of b and the number of events. An event is one or more lines and
// ends with an empty line; further empty lines before it belong to it. Lines that
// start with a colon are comments; a block of nothing else is no event. The error
// is ErrStatusLine or ErrOrder if such a line or event follows them.
func (s *Splitter) completeEvents(b []byte) (end, count int, err error) {
	line, last := 0, s.last
	empty, comments := true, true
	for i := 0; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		switch {
		case bytes.HasPrefix(b[line:i], []byte(statusLinePrefix)):
			return end, count, ErrStatusLine
		case !blank(b[line:i]):
			empty = false
			comments = comments && b[line] == ':'
		case !empty:
			if id := lastID(b[end:i]); s.increasing && id >= 0 {
				if id <= last {
					return end, count, ErrOrder
				}
				last = id
			}
			end = i + 1
			if !comments {
				count++
			}
			empty, comments = true, true
		}
		line = i + 1
	}
	return end, count, nil
}

// blank reports whether a line, without its LF, is empty.
func blank(line []byte) bool { return len(line) == 0 || len(line) == 1 && line[0] == '\r' }

// lastID returns the last numeric id among the events, or -1 if there is none.
func lastID(events []byte) int64 {
	for len(events) > 0 {
		i := bytes.LastIndex(events, []byte("id:"))
		if i < 0 {
			return -1
		}
		if i == 0 || events[i-1] == '\n' {
			line, _, _ := bytes.Cut(events[i+3:], []byte("\n"))
			id, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64)
			if err == nil {
				return id
			}
		}
		events = events[:i]
	}
	return -1
}
