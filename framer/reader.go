package framer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Sentinels of a stream that breaks the format.
var (
	// ErrTooLarge tells that one event exceeds the reader's bound.
	ErrTooLarge = errors.New("framer: event too large")
	// ErrInvalidPiece tells that an event is not an engine piece.
	ErrInvalidPiece = errors.New("framer: event is not an engine piece")
)

// MaxEventBytes is the default bound on one event, all its lines counted.
const MaxEventBytes = 64 << 10

// Piece is one event of an engine's stream: a token, or the end of the answer
// with the number of tokens that the attempt sent.
type Piece struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	Index     int    `json:"index"` // counts from 0 within the attempt
	Text      string `json:"text,omitempty"`
	End       bool   `json:"end,omitempty"`
	Tokens    int    `json:"tokens,omitempty"`
	Finish    string `json:"finish,omitempty"` // with End: FinishStop or FinishLength
}

// The reasons why an answer ends.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Reader parses server-sent events (WHATWG HTML, section 9.2.6). It accepts any
// input, keeps at most one event in memory, and hands out an event only after
// the empty line that ends it.
type Reader struct {
	r        *bufio.Reader
	max      int
	read     int // bytes since the last empty line
	skipLF   bool
	started  bool
	buffer   []byte // the line being read
	name     string
	data     []byte
	haveData bool
	err      error // ends the stream; the rest of a broken event is never parsed
}

// NewReader returns a reader of r that bounds each event to limit bytes. It
// panics if limit is not positive.
func NewReader(r io.Reader, limit int) *Reader {
	if limit <= 0 {
		panic("framer: limit must be positive")
	}
	return &Reader{r: bufio.NewReader(r), max: limit}
}

// Next returns the next event's name and data. It returns io.EOF at the end of
// the stream; an event that the end cuts off is discarded, as the format
// demands, and reported as io.ErrUnexpectedEOF. Every later call returns the
// first error.
func (r *Reader) Next() (string, []byte, error) {
	if r.err != nil {
		return "", nil, r.err
	}
	r.name, r.data, r.haveData, r.read = "", nil, false, 0
	for {
		line, err := r.line()
		if err != nil {
			if errors.Is(err, io.EOF) && (r.haveData || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			r.err = err
			return "", nil, err
		}
		if len(line) > 0 {
			r.field(line)
			continue
		}
		if r.haveData {
			return r.name, r.data, nil
		}
		r.name, r.read = "", 0
	}
}

// Piece returns the next event as an engine piece.
func (r *Reader) Piece() (Piece, error) {
	_, data, err := r.Next()
	if err != nil {
		return Piece{}, err
	}
	var p Piece
	if err := json.Unmarshal(data, &p); err != nil {
		return Piece{}, errors.Mark(err, ErrInvalidPiece)
	}
	return p, nil
}

// line returns one line without its end. Lines end in LF, CR or CR LF. The LF
// after a CR is skipped before the next line, so that a line is complete
// without waiting for the byte after it. The line is valid until the next call.
func (r *Reader) line() ([]byte, error) {
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
			return r.withoutMark(line), nil
		}
		if r.read++; r.read > r.max {
			return nil, ErrTooLarge
		}
		line = append(line, b)
	}
}

// withoutMark drops a byte order mark before the first line of the stream.
func (r *Reader) withoutMark(line []byte) []byte {
	if r.started {
		return line
	}
	r.started = true
	return bytes.TrimPrefix(line, []byte("\xef\xbb\xbf"))
}

func (r *Reader) field(line []byte) {
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

// WritePiece writes p as one event.
func WritePiece(w io.Writer, p Piece) error {
	data, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "framer: encode piece")
	}
	_, err = w.Write([]byte("data: " + string(data) + "\n\n"))
	return err
}
