package framer

import (
	"bytes"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/refuser"
)

// FuzzReader guards against input that makes the parser panic or exceed its limit,
// and against results that depend on the sizes of the reads.
func FuzzReader(f *testing.F) {
	f.Add([]byte("data: a\n\nevent: x\ndata: b\ndata: c\r\n\r\n: note\n\n"), 32)
	f.Fuzz(func(t *testing.T, input []byte, limit int) {
		limit = 1 + int(uint(limit)%4096)
		atOnce := NewReader(bytes.NewReader(input), limit)
		byByte := NewReader(iotest.OneByteReader(bytes.NewReader(input)), limit)
		for {
			name, data, err := atOnce.Next()
			byteName, byteData, byteErr := byByte.Next()
			if name != byteName || !bytes.Equal(data, byteData) || !errors.Is(byteErr, err) {
				t.Fatalf("got %q %q %v, byte by byte %q %q %v", name, data, err, byteName, byteData, byteErr)
			}
			if err != nil {
				return
			}
			if len(name)+len(data) > limit {
				t.Fatalf("got an event of %d bytes, want at most %d", len(name)+len(data), limit)
			}
		}
	})
}

// TestReader guards against a truncated event that is returned as complete, the
// rest of an oversized event that is parsed as a new one, and deviations from the
// event-stream format.
func TestReader(t *testing.T) {
	cases := map[string]struct {
		input string
		want  []string // name=data of each event
		err   error
	}{
		"line ends":       {"data: a\r\rdata: b\r\ndata: c\r\n\r\ndata: d\n\n", []string{"=a", "=b\nc", "=d"}, io.EOF},
		"fields":          {"\xef\xbb\xbfevent: e\ndata:x\ndata\nid: 4\n\n", []string{"e=x\n"}, io.EOF},
		"no data":         {"event: e\n\n: note\n\ndata: a\n\n", []string{"=a"}, io.EOF},
		"truncated line":  {"data: a\n\ndata: b", []string{"=a"}, io.ErrUnexpectedEOF},
		"truncated event": {"data: a\n\ndata: b\n", []string{"=a"}, io.ErrUnexpectedEOF},
		"too large":       {"data: " + strings.Repeat("x", 100) + "\n\n", nil, ErrTooLarge},
		"oversized rest":  {strings.Repeat("x", 65) + "data: forged\n\n", nil, ErrTooLarge},
		"too many lines":  {strings.Repeat(": note\n", 20), nil, ErrTooLarge},
		"many keep-alive": {strings.Repeat(": note\n\n", 20) + "data: a\n\n", []string{"=a"}, io.EOF},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewReader(strings.NewReader(c.input), 64)
			var got []string
			for {
				name, data, err := r.Next()
				if err != nil {
					if !errors.Is(err, c.err) {
						t.Errorf("got error %v, want %v", err, c.err)
					}
					if _, _, again := r.Next(); !errors.Is(again, c.err) {
						t.Errorf("call after the error: got %v, want %v", again, c.err)
					}
					break
				}
				got = append(got, name+"="+string(data))
			}
			if g, w := strings.Join(got, "|"), strings.Join(c.want, "|"); g != w {
				t.Errorf("got %q, want %q", g, w)
			}
		})
	}
}

// TestWriter guards against a failed answer that ends like a complete one, and
// against events after the end.
func TestWriter(t *testing.T) {
	cases := map[string]struct {
		end    func(*Writer) error
		want   []string
		absent string
	}{
		"complete": {
			func(w *Writer) error { return w.WriteEnd(FinishStop) },
			[]string{"id: 14\n", `"finish_reason":"stop"`, "data: [DONE]\n\n"}, "event: error",
		},
		"failed": {
			func(w *Writer) error { return w.WriteError(refuser.ErrStreamBroken) },
			[]string{"event: error\n", `"reason":"stream_broken"`, `"run":"yes"`}, "[DONE]",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rec := httptest.NewRecorder()
			w := NewWriter(rec, "r", "m", 7000, 10)
			if err := errors.Join(w.WriteText("a\n\nb"), c.end(w)); err != nil {
				t.Fatal(err)
			}
			for _, err := range []error{w.WriteText("late"), w.WriteEnd(FinishStop), w.WriteError(refuser.ErrInternal)} {
				if !errors.Is(err, ErrEnded) {
					t.Errorf("after the end: got %v, want ErrEnded", err)
				}
			}
			got := rec.Body.String()
			for _, part := range append(c.want, `"content":"a\n\nb"`, `"created":7,`) {
				if !strings.Contains(got, part) {
					t.Errorf("got %q, want it to contain %q", got, part)
				}
			}
			if strings.Contains(got, c.absent) || strings.Contains(got, "late") {
				t.Errorf("got %q, want no %q", got, c.absent)
			}
		})
	}
}

// BenchmarkEngineEvent measures the parsing of one engine event.
func BenchmarkEngineEvent(b *testing.B) {
	var stream bytes.Buffer
	for i := range 1000 {
		_ = WriteEngineEvent(&stream, EngineEvent{
			RequestID: "request-1", AttemptID: "entry-3/17/42", Index: i, Text: "gutter ",
		})
	}
	b.ReportAllocs()
	for n := 0; n < b.N; n += 1000 {
		r := NewReader(bytes.NewReader(stream.Bytes()), MaxEventBytes)
		for range 1000 {
			if _, err := r.ReadEngineEvent(); err != nil {
				b.Fatal(err)
			}
		}
	}
}
