package framer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// ErrEnded tells that the stream towards the caller has ended already.
var ErrEnded = errors.New("framer: stream has ended")

// Writer writes an answer to a caller as chat-completion chunks. Each event's
// id is the number of answer bytes up to and including it, so that a caller can
// come back with the last id that it has seen. A stream ends in exactly one of
// "data: [DONE]" and an error event.
type Writer struct {
	w       io.Writer
	flush   func()
	head    chunk
	offset  int
	started bool
	ended   bool
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // seconds since the Unix epoch
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index  int     `json:"index"`
	Delta  delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// NewWriter returns a writer of the answer to requestID by model, created at
// the given instant. Offset is the number of answer bytes that the caller has
// from an earlier stream. It sets the content type if w has headers, and
// flushes each event if w can.
func NewWriter(w io.Writer, requestID, model string, created clock.Millis, offset int) *Writer {
	flush := func() {}
	if f, ok := w.(http.Flusher); ok {
		flush = f.Flush
	}
	if h, ok := w.(http.ResponseWriter); ok {
		h.Header().Set("Content-Type", "text/event-stream")
		h.Header().Set("Cache-Control", "no-store")
	}
	head := chunk{
		ID: requestID, Object: "chat.completion.chunk",
		Created: int64(created / clock.Second), Model: model,
	}
	return &Writer{w: w, flush: flush, head: head, offset: offset}
}

// Text writes one piece of the answer.
func (w *Writer) Text(text string) error {
	if w.ended {
		return ErrEnded
	}
	w.offset += len(text)
	return w.chunk(delta{Content: text}, nil)
}

// End writes the reason why the answer ended and the end marker.
func (w *Writer) End(finish string) error {
	if w.ended {
		return ErrEnded
	}
	if err := w.chunk(delta{}, &finish); err != nil {
		return err
	}
	w.ended = true
	return w.send("data: [DONE]\n\n")
}

// Error writes an error event, after which the caller must not take the answer
// for complete.
func (w *Writer) Error(r *refuser.Refusal) error {
	if w.ended {
		return ErrEnded
	}
	w.ended = true
	data, err := r.Encode()
	if err != nil {
		return errors.Wrap(err, "framer: encode error event")
	}
	return w.send("event: error\ndata: " + string(data) + "\n\n")
}

func (w *Writer) chunk(d delta, finish *string) error {
	if !w.started {
		d.Role, w.started = "assistant", true
	}
	c := w.head
	c.Choices = []choice{{Delta: d, Finish: finish}}
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "framer: encode chunk")
	}
	return w.send(fmt.Sprintf("id: %d\ndata: %s\n\n", w.offset, data))
}

func (w *Writer) send(event string) error {
	if _, err := io.WriteString(w.w, event); err != nil {
		return errors.Wrap(err, "framer: write event")
	}
	w.flush()
	return nil
}
