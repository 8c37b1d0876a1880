package splitter

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// Guards against partial events, lost bytes and merged events, whatever the sizes
// of the reads.
func TestNext(t *testing.T) {
	const two = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
	tests := map[string]struct {
		in   string
		out  string
		last int64
		err  error
	}{
		"complete":                   {two, two, 2, io.EOF},
		"ends inside a line":         {two + "id: 3\nda", two, 2, ErrPartial},
		"ends before the blank line": {two + "id: 3\ndata: c\n", two, 2, ErrPartial},
		"empty":                      {"", "", -1, io.EOF},
		"field before the id":        {"v: 7\nid: 5\ndata: id: 9\n\n", "v: 7\nid: 5\ndata: id: 9\n\n", 5, io.EOF},
		"leading empty lines":        {"\n\nid: 1\ndata: a\n\n", "\n\nid: 1\ndata: a\n\n", 1, io.EOF},
		"no id":                      {"data: a\n\n", "data: a\n\n", -1, io.EOF},
		"response after an event":    {two + "HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + two, two, 2, ErrStatusLine},
		"response inside an event":   {two + "id: 3\nHTTP/1.0 200 OK\r\n\r\n", two, 2, ErrStatusLine},
		"response at once":           {"HTTP/1.1 200 OK\r\n\r\n" + two, "", -1, ErrStatusLine},
		"status line in data":        {"data: HTTP/1.1 200\n\n", "data: HTTP/1.1 200\n\n", -1, io.EOF},
		"comments":                   {": b\n\n" + two + ":\n\n", ": b\n\n" + two + ":\n\n", 2, io.EOF},
	}
	for name, tt := range tests {
		for size, r := range map[string]io.Reader{
			"at once": strings.NewReader(tt.in), "byte by byte": iotest.OneByteReader(strings.NewReader(tt.in)),
		} {
			t.Run(name+" "+size, func(t *testing.T) {
				s := New(r)
				var got strings.Builder
				last := int64(-1)
				for {
					data, id, _, err := s.Next()
					if err != nil {
						if !errors.Is(err, tt.err) {
							t.Errorf("error: got %v, want %v", err, tt.err)
						}
						break
					}
					got.Write(data)
					if id >= 0 {
						last = id
					}
				}
				if got.String() != tt.out || last != tt.last {
					t.Errorf("got %q last %d, want %q last %d", got.String(), last, tt.out, tt.last)
				}
			})
		}
	}
}

// Guards against a connection reset that looks like the end of the stream.
func TestReaderErrorIsKept(t *testing.T) {
	reset := errors.New("reset")
	s := New(io.MultiReader(strings.NewReader("data: a\n\n"), iotest.ErrReader(reset)))
	if _, _, n, err := s.Next(); n != 1 || err != nil {
		t.Fatalf("first: got %d events, %v", n, err)
	}
	if _, _, _, err := s.Next(); !errors.Is(err, reset) {
		t.Errorf("error: got %v, want %v", err, reset)
	}
}

// Guards against comments that count as events: a stalled stream that sends a
// comment now and then would count as one that advances.
func TestCommentsAreNoEvents(t *testing.T) {
	tests := map[string]struct {
		in    string
		count int
	}{
		"comment":            {": still here\n\n", 0},
		"two comments":       {":\n\n: b\r\n\r\n", 0},
		"lines of a comment": {": a\n: b\n\n", 0},
		"comment in event":   {": a\ndata: b\n\n", 1},
		"comment and event":  {": a\n\ndata: b\n\n", 1},
		"event, comment":     {"data: b\n: a\n\n", 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			data, _, n, err := New(strings.NewReader(tt.in)).Next()
			if n != tt.count || string(data) != tt.in || err != nil {
				t.Errorf("got %d events in %q, %v, want %d in %q", n, data, err, tt.count, tt.in)
			}
		})
	}
}

// Guards against unbounded memory use for a stream without event boundaries.
func TestTooLarge(t *testing.T) {
	s := New(strings.NewReader(strings.Repeat("x", 3*maxEventBytes)))
	if _, _, _, err := s.Next(); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error: got %v, want %v", err, ErrTooLarge)
	}
}

func BenchmarkNext(b *testing.B) {
	stream := strings.Repeat("id: 12\ndata: some words of an answer\n\n", 64)
	b.SetBytes(int64(len(stream)))
	b.ReportAllocs()
	for b.Loop() {
		s := New(strings.NewReader(stream))
		for {
			if _, _, _, err := s.Next(); err != nil {
				break
			}
		}
	}
}

// Guards against events that come twice, or from another position than the one from
// which a stream resumes, whatever the sizes of the reads.
func TestIDsIncrease(t *testing.T) {
	tests := map[string]struct {
		in    string
		after int64
		out   string
		err   error
	}{
		"increasing":           {"id: 1\n\nid: 5\n\n", -1, "id: 1\n\nid: 5\n\n", io.EOF},
		"first is 0":           {"id: 0\n\n", -1, "id: 0\n\n", io.EOF},
		"repeated":             {"id: 1\n\nid: 2\n\nid: 2\n\nid: 3\n\n", -1, "id: 1\n\nid: 2\n\n", ErrOrder},
		"back":                 {"id: 4\n\nid: 3\n\n", -1, "id: 4\n\n", ErrOrder},
		"resumed":              {"id: 3\n\nid: 4\n\n", 2, "id: 3\n\nid: 4\n\n", io.EOF},
		"starts again":         {"id: 1\n\nid: 2\n\nid: 3\n\n", 2, "", ErrOrder},
		"repeats the last":     {"id: 2\n\nid: 3\n\n", 2, "", ErrOrder},
		"without an id":        {"data: a\n\nid: 3\n\ndata: b\n\n", 2, "data: a\n\nid: 3\n\ndata: b\n\n", io.EOF},
		"id that is no number": {"id: x\n\nid: 3\n\nid: x\n\n", 2, "id: x\n\nid: 3\n\nid: x\n\n", io.EOF},
	}
	for name, tt := range tests {
		for size, r := range map[string]io.Reader{
			"at once": strings.NewReader(tt.in), "byte by byte": iotest.OneByteReader(strings.NewReader(tt.in)),
		} {
			t.Run(name+" "+size, func(t *testing.T) {
				s := NewAfter(r, tt.after)
				var got strings.Builder
				data, _, _, err := s.Next()
				for ; err == nil; data, _, _, err = s.Next() {
					got.Write(data)
				}
				if got.String() != tt.out || !errors.Is(err, tt.err) {
					t.Errorf("got %q %v, want %q %v", got.String(), err, tt.out, tt.err)
				}
			})
		}
	}
}

// Guards against events that change while another goroutine writes them, and against bytes
// lost between them and the next ones.
func TestDetach(t *testing.T) {
	const first, second, third = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	s := New(io.MultiReader(strings.NewReader(first+second+"id: 3"), strings.NewReader(third[5:])))
	kept, _, _, err := s.Next()
	if err != nil {
		t.Fatal(err)
	}
	s.Detach()
	next, id, _, err := s.Next()
	if string(kept) != first+second || string(next) != third || id != 3 || err != nil {
		t.Errorf("got %q, then %q with id %d, %v", kept, next, id, err)
	}
}
