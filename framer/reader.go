package framer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Errors of a malformed stream.
var (
	// ErrTooLarge means that an event exceeds the reader's limit.
	ErrTooLarge = errors.New("framer: event too large")
	// ErrInvalidEngineEvent means that the data of an event is not an engine event.
	ErrInvalidEngineEvent = errors.New("framer: malformed engine event")
)

// MaxEventBytes is the usual limit of one event for NewReader. The limit counts
// all lines of the event without their line ends.
const MaxEventBytes = 64 << 10

// EngineEvent is one event of an engine's stream: a token, or the end marker,
// which carries the number of tokens that the attempt sent.
type EngineEvent struct {
	RequestID    string `json:"request_id"`
	AttemptID    string `json:"attempt_id"`
	Index        int    `json:"index"` // of the token within the attempt, from 0
	Text         string `json:"text,omitempty"`
	End          bool   `json:"end,omitempty"`    // this is the end marker
	Tokens       int    `json:"tokens,omitempty"` // end marker only: number of tokens of the attempt
	FinishReason string `json:"finish,omitempty"` // end marker only: FinishStop or FinishLength
}

// The finish reasons of an answer.
const (
	FinishStop   = "stop"   // the model ended the answer
	FinishLength = "length" // the token limit was reached
)

// Reader parses server-sent events (WHATWG HTML, section 9.2.6). It accepts any
// input, buffers at most one event, and returns an event only after the empty
// line that ends it. It is not safe for concurrent use.
type Reader struct {
	r        *bufio.Reader
	limit    int    // largest size of one event in bytes
	read     int    // bytes since the last empty line
	skipLF   bool   // the last line ended in CR, so a following LF belongs to it
	started  bool   // the first line was read
	buffer   []byte // the line being read
	name     string // of the event being read
	data     []byte // of the event being read
	haveData bool   // the event being read has a data field
	err      error  // first error; nothing is parsed after it
}

// NewReader returns a reader of r that limits each event to limit bytes. It panics
// if limit is not positive.
func NewReader(r io.Reader, limit int) *Reader {
	if limit <= 0 {
		panic("framer: limit must be positive")
	}
	return &Reader{r: bufio.NewReader(r), limit: limit}
}

// Next returns the name and the data of the next event. It returns io.EOF at the
// end of the stream. An event that the end truncates is discarded, as the format
// requires, and reported as io.ErrUnexpectedEOF. After an error every call
// returns the same error.
func (r *Reader) Next() (string, []byte, error) {
	if r.err != nil {
		return "", nil, r.err
	}
	r.name, r.data, r.haveData, r.read = "", nil, false, 0
	for {
		line, err := r.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && (r.haveData || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			r.err = err
			return "", nil, err
		}
		if len(line) > 0 {
			r.parseField(line)
			continue
		}
		if r.haveData {
			return r.name, r.data, nil
		}
		r.name, r.read = "", 0
	}
}

// ReadEngineEvent reads the next event and decodes it as an engine event. The error
// is that of Next, or ErrInvalidEngineEvent, after which reading can continue.
func (r *Reader) ReadEngineEvent() (EngineEvent, error) {
	_, data, err := r.Next()
	if err != nil {
		return EngineEvent{}, err
	}
	var e EngineEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return EngineEvent{}, errors.Mark(err, ErrInvalidEngineEvent)
	}
	return e, nil
}

// readLine returns one line without its line end: LF, CR or CR LF. The LF after a CR
// is skipped when the next line is read, so that a line is complete without
// waiting for the byte after the CR. The line is valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	line := r.buffer[:0]
	defer func() { r.buffer = line }()
	for {
		b, err := r.r.ReadByte()
		if err != nil {
			return line, err
		}
		if b == '\n' && r.skipLF {
			r.skipLF = false
			continue
		}
		r.skipLF = b == '\r'
		if b == '\n' || b == '\r' {
			return r.trimBOM(line), nil
		}
		if r.read++; r.read > r.limit {
			return nil, ErrTooLarge
		}
		line = append(line, b)
	}
}

// trimBOM removes a byte order mark from the first line of the stream.
func (r *Reader) trimBOM(line []byte) []byte {
	if r.started {
		return line
	}
	r.started = true
	return bytes.TrimPrefix(line, []byte("\xef\xbb\xbf"))
}

// parseField processes one line of an event. Fields other than event and data, and
// comments, are ignored.
func (r *Reader) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		r.name = string(value)
	case "data":
		if r.haveData {
			r.data = append(r.data, '\n')
		}
		r.haveData = true
		r.data = append(r.data, value...)
	}
}

// WriteEngineEvent writes e as one server-sent event.
func WriteEngineEvent(w io.Writer, e EngineEvent) error {
	data, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "framer: encode engine event")
	}
	_, err = w.Write([]byte("data: " + string(data) + "\n\n"))
	return err
}
