package engineemulator

import (
	"net/http"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/framer"
	"rosemaryarch.example/rosemaryarch/streamer"
)

// plan is what one attempt is going to stream.
type plan struct {
	prior  int // tokens of the prior text
	tokens int // tokens of this attempt
	finish string
}

func (e *Emulator) plan(q streamer.Request, prior int) plan {
	rest := max(0, Length(q.Version, q.Prompt, e.o.AnswerTokens)-prior)
	if rest > q.MaxTokens {
		return plan{prior, q.MaxTokens, framer.FinishLength}
	}
	return plan{prior, rest, framer.FinishStop}
}

// stream runs w from the piece at from on. It returns errCut if the connection
// must be cut.
func (e *Emulator) stream(out http.ResponseWriter, w *work, p plan, from int) error {
	whole := false
	defer func() { e.release(w, whole) }()
	select {
	case <-w.ready:
	case <-w.ctx.Done():
		return errCut
	}
	out.Header().Set("Content-Type", "text/event-stream")
	out.WriteHeader(http.StatusOK)
	flush(out)
	if err := e.o.Sleep(w.ctx, e.firstTime(w)); err != nil {
		return errCut
	}
	for i := from; i < p.tokens; i++ {
		if done, err := e.interrupt(w, i+1); done {
			return err
		}
		if err := e.o.Sleep(w.ctx, e.tokenTime(w)); err != nil || w.ctx.Err() != nil {
			return errCut
		}
		piece := framer.Piece{Index: i, Text: e.text(w, p.prior+i)}
		if err := send(out, w, piece, i+1); err != nil {
			return errCut
		}
	}
	if done, err := e.interrupt(w, p.tokens+1); done {
		return err
	}
	whole = true
	end := framer.Piece{Index: p.tokens, End: true, Tokens: p.tokens, Finish: p.finish}
	return send(out, w, end, p.tokens+1)
}

// interrupt applies hang and cut before the n-th token. The end marker counts
// as a token here.
func (e *Emulator) interrupt(w *work, n int) (bool, error) {
	if at := w.faults.HangAt; at > 0 && n >= at {
		<-w.ctx.Done()
		return true, errCut
	}
	if at := w.faults.CutAt; at > 0 && n >= at {
		if w.faults.CutQuietly {
			return true, nil
		}
		return true, errCut
	}
	return false, nil
}

// send writes the n-th piece, with its ids and the stream's faults.
func send(out http.ResponseWriter, w *work, p framer.Piece, n int) error {
	f := w.faults
	if f.SkipAt == n {
		return nil
	}
	p.RequestID, p.AttemptID = w.request.RequestID, w.request.AttemptID
	if f.CrossAt > 0 && n >= f.CrossAt {
		p.RequestID, p.AttemptID = "crossed-"+p.RequestID, "crossed-"+p.AttemptID
		p.Text = Token("crossed", w.request.Prompt, n)
	}
	times := 1
	if f.Repeat {
		times = 2
	}
	for range times {
		if err := framer.WritePiece(out, p); err != nil {
			return err
		}
	}
	flush(out)
	return nil
}

func flush(out http.ResponseWriter) {
	if f, ok := out.(http.Flusher); ok {
		f.Flush()
	}
}

func (e *Emulator) text(w *work, index int) string {
	text := Token(w.request.Version, w.request.Prompt, index)
	if w.faults.BadVersion == w.request.Version {
		return BadMark + text
	}
	return text
}

func (e *Emulator) firstTime(w *work) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scale(w, e.o.First(len(w.request.Prompt), w.cached)) + w.faults.LateFirst
}

func (e *Emulator) tokenTime(w *work) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scale(w, e.o.Token(len(e.running)))
}

// scale slows a cold engine down and halves the time of a bad version. The
// mutex is held.
func (e *Emulator) scale(w *work, d clock.Millis) clock.Millis {
	if !e.warm {
		d *= e.o.ColdFactor
	}
	if w.faults.BadVersion == w.request.Version {
		d /= 2
	}
	return d
}
