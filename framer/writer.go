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

// ErrEnded means that the stream to the caller has already ended.
var ErrEnded = errors.New("framer: stream has ended")

// Writer writes an answer to a caller as server-sent chat-completion chunks. The
// id of each event is the number of answer bytes up to and including it, so that
// a caller can resume after the last id that it received. A stream ends with
// either "data: [DONE]" or an error event. It is not safe for concurrent use.
type Writer struct {
	w        io.Writer
	flush    func()
	template chunk // of every chunk, without choices
	offset   int   // answer bytes so far
	started  bool  // the first chunk, with the role, was written
	ended    bool
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

// NewWriter returns a writer of the answer to requestID by model, created at the
// given instant in Unix time. offset is the number of answer bytes that the caller
// received in an earlier stream. If w is an http.ResponseWriter, NewWriter sets
// its content type and Cache-Control; if it is an http.Flusher, each event is
// flushed.
func NewWriter(w io.Writer, requestID, model string, created clock.Millis, offset int) *Writer {
	flush := func() {}
	if f, ok := w.(http.Flusher); ok {
		flush = f.Flush
	}
	if h, ok := w.(http.ResponseWriter); ok {
		h.Header().Set("Content-Type", "text/event-stream")
		h.Header().Set("Cache-Control", "no-store")
	}
	template := chunk{
		ID: requestID, Object: "chat.completion.chunk",
		Created: int64(created / clock.Second), Model: model,
	}
	return &Writer{w: w, flush: flush, template: template, offset: offset}
}

// WriteText writes the next part of the answer as one chunk.
func (w *Writer) WriteText(text string) error {
	if w.ended {
		return ErrEnded
	}
	w.offset += len(text)
	return w.writeChunk(delta{Content: text}, nil)
}

// WriteEnd writes a chunk with the finish reason and the end marker.
func (w *Writer) WriteEnd(finish string) error {
	if w.ended {
		return ErrEnded
	}
	if err := w.writeChunk(delta{}, &finish); err != nil {
		return err
	}
	w.ended = true
	return w.send("data: [DONE]\n\n")
}

// WriteError writes an error event with the refusal, which tells the caller that
// the answer is not complete.
func (w *Writer) WriteError(r *refuser.Refusal) error {
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

// writeChunk writes one chunk; the first one carries the role.
func (w *Writer) writeChunk(d delta, finish *string) error {
	if !w.started {
		d.Role, w.started = "assistant", true
	}
	c := w.template
	c.Choices = []choice{{Delta: d, Finish: finish}}
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "framer: encode chunk")
	}
	return w.send(fmt.Sprintf("id: %d\ndata: %s\n\n", w.offset, data))
}

// send writes one encoded event and flushes it.
func (w *Writer) send(event string) error {
	if _, err := io.WriteString(w.w, event); err != nil {
		return errors.Wrap(err, "framer: write event")
	}
	w.flush()
	return nil
}
