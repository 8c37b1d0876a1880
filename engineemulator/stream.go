package engineemulator

import (
	"net/http"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/framer"
	"rosemaryarch.example/rosemaryarch/streamer"
)

// plan is the extent of the answer that one attempt streams.
type plan struct {
	prior  int    // number of tokens of the prior text
	tokens int    // number of tokens of this attempt
	finish string // finish reason of the end marker
}

// plan computes the rest of the answer after prior tokens, up to q.MaxTokens.
func (e *Emulator) plan(q streamer.Request, prior int) plan {
	rest := max(0, Length(q.Version, q.Prompt, e.o.AnswerTokens)-prior)
	if rest > q.MaxTokens {
		return plan{prior, q.MaxTokens, framer.FinishLength}
	}
	return plan{prior, rest, framer.FinishStop}
}

// stream waits until a is in the batch and sends its events from index from on,
// then the end marker. It returns errCut if the connection must be cut.
func (e *Emulator) stream(out http.ResponseWriter, a *attempt, p plan, from int) error {
	complete := false
	defer func() { e.release(a, complete) }()
	select {
	case <-a.ready:
	case <-a.ctx.Done():
		return errCut
	}
	out.Header().Set("Content-Type", "text/event-stream")
	out.WriteHeader(http.StatusOK)
	flush(out)
	if err := e.o.Sleep(a.ctx, e.firstTokenTime(a)); err != nil {
		return errCut
	}
	for i := from; i < p.tokens; i++ {
		if done, err := e.interrupt(a, i+1); done {
			return err
		}
		if err := e.o.Sleep(a.ctx, e.tokenTime(a)); err != nil || a.ctx.Err() != nil {
			return errCut
		}
		event := framer.EngineEvent{Index: i, Text: e.text(a, p.prior+i)}
		if err := send(out, a, event, i+1); err != nil {
			return errCut
		}
	}
	if done, err := e.interrupt(a, p.tokens+1); done {
		return err
	}
	complete = true
	end := framer.EngineEvent{Index: p.tokens, End: true, Tokens: p.tokens, FinishReason: p.finish}
	return send(out, a, end, p.tokens+1)
}

// interrupt applies Faults.HangAt and Faults.CutAt before the n-th token; the end
// marker counts as a token. It reports whether the stream ends here, with the
// error that stream returns.
func (e *Emulator) interrupt(a *attempt, n int) (bool, error) {
	if at := a.faults.HangAt; at > 0 && n >= at {
		<-a.ctx.Done()
		return true, errCut
	}
	if at := a.faults.CutAt; at > 0 && n >= at {
		if a.faults.CutWithEOF {
			return true, nil
		}
		return true, errCut
	}
	return false, nil
}

// send writes the n-th event with the ids of the attempt and applies SkipAt,
// MismatchAt and DuplicateEvents of the stream's faults.
func send(out http.ResponseWriter, a *attempt, event framer.EngineEvent, n int) error {
	f := a.faults
	if f.SkipAt == n {
		return nil
	}
	event.RequestID, event.AttemptID = a.request.RequestID, a.request.AttemptID
	if f.MismatchAt > 0 && n >= f.MismatchAt {
		event.RequestID, event.AttemptID = "crossed-"+event.RequestID, "crossed-"+event.AttemptID
		event.Text = Token("crossed", a.request.Prompt, n)
	}
	times := 1
	if f.DuplicateEvents {
		times = 2
	}
	for range times {
		if err := framer.WriteEngineEvent(out, event); err != nil {
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

// text returns the token at index of the answer, with BadTokenPrefix for a bad
// version.
func (e *Emulator) text(a *attempt, index int) string {
	text := Token(a.request.Version, a.request.Prompt, index)
	if a.faults.BadVersion == a.request.Version {
		return BadTokenPrefix + text
	}
	return text
}

// firstTokenTime returns the time from the start of the stream to the first token.
func (e *Emulator) firstTokenTime(a *attempt) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scale(a, e.o.FirstTokenTime(len(a.request.Prompt), a.cached)) + a.faults.FirstTokenDelay
}

// tokenTime returns the time to the next token at the current batch size.
func (e *Emulator) tokenTime(a *attempt) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scale(a, e.o.TokenTime(len(e.running)))
}

// scale multiplies d by Options.ColdFactor while the engine is cold and halves it
// for a bad version. The mutex must be held.
func (e *Emulator) scale(a *attempt, d clock.Millis) clock.Millis {
	if !e.warm {
		d *= e.o.ColdFactor
	}
	if a.faults.BadVersion == a.request.Version {
		d /= 2
	}
	return d
}
