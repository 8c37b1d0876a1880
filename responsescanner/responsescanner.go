package responsescanner

import (
	"bytes"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrSecondResponse means that another response follows in the body.
var ErrSecondResponse = errors.New("responsescanner: the body holds another response")

// protocol is the start of a status line.
const protocol = "HTTP/1."

const (
	// maxHeadBytes is the largest head of a second response that is held back before it is
	// known to be one. The bytes of a longer one are passed on before the error.
	maxHeadBytes = 16 << 10
	// readBytes is the size of the first buffer. Hundreds of bodies may be in progress in a process with
	// little memory.
	readBytes = 2 << 10
)

// Holds reports whether a body holds a second response: a status line and, below it, a header
// with the given name.
func Holds(body []byte, header string) bool {
	_, head, found := bytes.Cut(body, []byte(protocol))
	return found && containsHeader(head, headerStart(header))
}

func headerStart(header string) []byte { return []byte("\n" + strings.ToLower(header) + ":") }

func containsHeader(b, start []byte) bool { return bytes.Contains(bytes.ToLower(b), start) }

// Scanner reads a body and returns ErrSecondResponse instead of a second response in it. It
// is not safe for concurrent use.
type Scanner struct {
	r      io.Reader
	header []byte // see headerStart
	buffer []byte // backs data
	data   []byte // read from r and not yet returned
	passed int    // bytes of data that may be returned
	quoted bool   // a protocol without the header near it has been passed
	err    error  // of r, or ErrSecondResponse
}

// New returns a Scanner of r, of which responses have the header with the given name.
func New(r io.Reader, header string) *Scanner { return &Scanner{r: r, header: headerStart(header)} }

// Read implements io.Reader. The bytes that may begin a second response are held back until
// its head, or more than maxHeadBytes, has arrived.
func (s *Scanner) Read(p []byte) (int, error) {
	for s.passed == 0 && s.err == nil {
		s.fill()
	}
	if s.passed == 0 {
		return 0, s.err
	}
	n := copy(p, s.data[:s.passed])
	s.data, s.passed = s.data[n:], s.passed-n
	return n, nil
}

// fill reads more bytes and decides how many may be returned.
func (s *Scanner) fill() {
	s.data = append(s.buffer[:0], s.data...)
	if cap(s.data)-len(s.data) < readBytes/2 {
		s.data = slices.Grow(s.data, readBytes)
	}
	s.buffer = s.data
	n, err := s.r.Read(s.data[len(s.data):cap(s.data)])
	s.data, s.err = s.data[:len(s.data)+n], err
	if s.examine(); err != nil && s.err != ErrSecondResponse {
		s.passed = len(s.data) // nothing follows that could make it a response
	}
}

// examine sets passed, or err if data holds the head of a second response.
func (s *Scanner) examine() {
	if s.quoted && containsHeader(s.data, s.header) {
		s.passed, s.err = 0, ErrSecondResponse
		return
	}
	s.passed = 0
	for {
		rest := s.data[s.passed:]
		at := bytes.Index(rest, []byte(protocol))
		if at < 0 {
			break
		}
		if containsHeader(rest[at:], s.header) {
			s.passed, s.err = 0, ErrSecondResponse
			return
		}
		if len(rest)-at <= maxHeadBytes && !containsBlankLine(rest[at:]) {
			s.passed += at
			return
		}
		s.quoted = true
		s.passed += at + len(protocol)
	}
	keep := partialSuffix(s.data[s.passed:], []byte(protocol))
	if s.quoted {
		keep = max(keep, min(len(s.header)-1, len(s.data)-s.passed))
	}
	s.passed = len(s.data) - keep
}

// containsBlankLine reports whether b contains the end of a head.
func containsBlankLine(b []byte) bool {
	return bytes.Contains(b, []byte("\n\r\n")) || bytes.Contains(b, []byte("\n\n"))
}

// partialSuffix returns the length of the longest end of b that is a start of pattern.
func partialSuffix(b, pattern []byte) int {
	for n := min(len(pattern)-1, len(b)); n > 0; n-- {
		if bytes.HasSuffix(b, pattern[:n]) {
			return n
		}
	}
	return 0
}
