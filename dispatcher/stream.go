package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/cascader"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/splitter"
)

// accept decides on the first model's answer.
func (s *sending) accept() bool {
	x, a := s.exchange, s.answer
	models := x.route.Models
	x.conf = -1
	if c, err := strconv.ParseFloat(a.Header.Get(x.dispatcher.options.Names.Confidence), 64); err == nil {
		x.conf = c
	}
	if x.model+1 >= len(models) || x.sends >= x.route.Attempts {
		return true
	}
	d := x.dispatcher
	d.mu.Lock()
	large := (x.prompt.tokens - usualHit*x.prompt.shared) * d.perToken(models[len(models)-1], 0)
	d.mu.Unlock()
	room := 1.0
	if x.conf >= 0 && x.conf < d.options.Cascader.Keep {
		room = d.larger(x.now(), s.search, x.priority(), large)
	}
	ahead, mean := d.pressure(x.now(), s.search)
	target := float64(max(1, x.route.Target))
	late := float64(x.now()-x.start)+ahead+large > target
	answer := cascader.Answer{Confidence: x.conf, Pressure: (mean + large) / target, Late: late, Room: room}
	x.weighed, x.threshold = answer, d.options.Cascader.Threshold(answer)
	return d.options.Cascader.Accept(answer)
}

// stream passes events on as they arrive.
func (s *sending) stream(ctx context.Context) (next, error) {
	x, a := s.exchange, s.answer
	if !x.begun && !s.accept() && x.escalate() {
		s.outcome, s.counts = "less_confident", true
		return larger, nil
	}
	events := splitter.New(a)
	first := true
	for {
		a.Within(s.pause(first))
		data, id, _, err := events.Next()
		now := x.now()
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return s.streamEnded(first)
		default:
			return s.streamBroke(ctx, err)
		}
		x.dispatcher.heard(now, x.endpoint)
		if first {
			first = false
			s.latency = now - s.begin
			x.dispatcher.started(now, s.choice, s.search, s.latency)
			if !x.begun {
				x.firstMs = now - x.start
				x.beginStream(a)
			}
		}
		if id >= 0 {
			x.lastID = id
		}
		if !x.write(data) {
			s.outcome = "client_left"
			x.reason = "client_left"
			return finished, nil
		}
	}
}

// pause returns the longest wait for the next event; 0 means until the end.
func (s *sending) pause(first bool) clock.Millis {
	x := s.exchange
	if !x.route.Repeatable() || x.sends >= x.route.Attempts {
		return 0
	}
	if first {
		return s.streamPatience()
	}
	return max(silentAfter, x.route.EventGap) + 300
}

func (x *exchange) beginStream(a *forwarder.Answer) {
	x.begun = true
	x.status = a.Status
	x.copyHeader(a)
	x.writer.WriteHeader(a.Status)
}

func (x *exchange) write(data []byte) bool {
	if _, err := x.writer.Write(data); err != nil {
		return false
	}
	return http.NewResponseController(x.writer).Flush() == nil
}

func (s *sending) streamEnded(empty bool) (next, error) {
	x := s.exchange
	s.answer.Release()
	s.counts = true
	s.outcome = "complete"
	if empty && !x.begun {
		x.beginStream(s.answer)
	}
	return finished, nil
}

func (s *sending) streamBroke(ctx context.Context, err error) (next, error) {
	x := s.exchange
	s.outcome = "stream_broke"
	if ctx.Err() != nil {
		if x.now() < x.until {
			s.outcome, x.reason = "client_left", "client_left"
			return finished, nil
		}
		return again, refuser.ErrDeadline.WithRun(refuser.RunYes)
	}
	s.failed, s.counts, s.bad = true, true, true
	x.suspect(s.choice, s.search)
	x.dispatcher.options.Meter.Retried(refuser.RetryStreamCut)
	return again, refuser.ErrStreamBroken.WithMessage("%v", err)
}
