package responsescanner

import (
	"bytes"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

const second = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\nother"

// Guards against bytes of a second response that are passed on, and against a sound body that
// is refused, delayed for good or changed.
func TestScanner(t *testing.T) {
	long := strings.Repeat("a line of the body\n", 20000)
	const status, other = "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 is old\n\n"
	tests := map[string]struct {
		body string
		want string // what is passed on
		err  error
	}{
		"empty":                          {"", "", nil},
		"sound":                          {long, long, nil},
		"second response":                {long + second, long, ErrSecondResponse},
		"at once":                        {second, "", ErrSecondResponse},
		"HTTP/1.0":                       {"x" + strings.Replace(second, "1.1", "1.0", 1), "x", ErrSecondResponse},
		"lower case":                     {strings.ToLower(second), strings.ToLower(second), nil},
		"header in capitals":             {"x" + strings.Replace(second, "X-Id", "X-ID", 1), "x", ErrSecondResponse},
		"cut off in its head":            {"x" + second[:30], "x", ErrSecondResponse},
		"cut off before the header":      {"x" + second[:12], "x" + second[:12], nil},
		"quotes a status":                {long + status + long, long + status + long, nil},
		"quotes a status, ends in it":    {long + "HTTP/1.", long + "HTTP/1.", nil},
		"ends in a part of the protocol": {long + "HTT", long + "HTT", nil},
		"quoted status before another":   {other + long + second, other + long, ErrSecondResponse},
		"header alone":                   {long + "\nX-Id: 7\n", long + "\nX-Id: 7\n", nil},
	}
	readers := map[string]func(io.Reader) io.Reader{
		"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader,
		"error with data": iotest.DataErrReader,
	}
	for name, tt := range tests {
		for how, reader := range readers {
			t.Run(name+", "+how, func(t *testing.T) {
				got, err := io.ReadAll(New(reader(strings.NewReader(tt.body)), "X-Id"))
				if !errors.Is(err, tt.err) {
					t.Errorf("got error %v, want %v", err, tt.err)
				}
				if tt.err == nil && string(got) != tt.want || !strings.HasPrefix(tt.want, string(got)) {
					t.Errorf("got %d bytes, want those of the %d", len(got), len(tt.want))
				}
			})
		}
	}
}

// Guards against a body on which Scanner and Holds disagree, whatever the reads.
func TestScannerAgreesWithHolds(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	parts := []string{
		"HTTP/1.", "HTTP/1.1 200 OK\r\n", "\nX-Id:", "\nx-id: 3\r\n", "\n\n", "\r\n\r\n", "text", "H", "HTT", "\n", "X-Id:",
		strings.Repeat("z", 3000), strings.Repeat("z", maxHeadBytes),
	}
	for range 5000 {
		var b bytes.Buffer
		for range r.IntN(8) {
			b.WriteString(parts[r.IntN(len(parts))])
		}
		body := b.Bytes()
		got, err := io.ReadAll(New(&randomReader{r, bytes.NewReader(body)}, "X-Id"))
		if want := Holds(body, "X-Id"); errors.Is(err, ErrSecondResponse) != want || err != nil && !want {
			t.Fatalf("body %.80q: got %v, want a second response: %v", body, err, want)
		}
		if !bytes.HasPrefix(body, got) || err == nil && len(got) != len(body) {
			t.Fatalf("body %.80q: got %d other bytes", body, len(got))
		}
	}
}

// randomReader returns between one and 5,000 bytes a read.
type randomReader struct {
	random *rand.Rand
	r      io.Reader
}

func (r *randomReader) Read(p []byte) (int, error) {
	return r.r.Read(p[:min(len(p), 1+r.random.IntN(5000))])
}
