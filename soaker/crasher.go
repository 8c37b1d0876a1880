package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/platform"
)

const (
	// minPromptTime and maxPromptTime bound the time for which prompts crash endpoints.
	// The checks begin up to six seconds after the fifth crash.
	minPromptTime = 10 * clock.Second
	maxPromptTime = 15 * clock.Second
	// promptStart is the time before, in which sound requests show how many are served.
	promptStart = 2 * clock.Second
	promptGap   = clock.Second // time between two requests with such a prompt
	// A crashed endpoint is back after restartTime, mostly with a new id.
	restartTime = 3 * clock.Second
	sameIDShare = 0.2
	subjects    = 7 // number of prompt parts that a few requests share
)

// drawPromptTime draws for how long prompts crash endpoints; 0 for half of the seeds,
// unless the run plays nothing else.
func drawPromptTime(o Options) clock.Millis {
	r := rand.New(rand.NewPCG(o.Seed, 2)) // stream 1 draws the other faults
	left, skip := o.FaultPhase-promptStart, r.IntN(2) == 0
	if left < minPromptTime || (skip && !o.PromptsOnly) {
		return 0
	}
	return min(left, minPromptTime+clock.Millis(r.Int64N(int64(maxPromptTime-minPromptTime))))
}

// promptParts returns the parts of the prompt of the i-th request: one that the whole
// route has, one or two that a few requests share, and its own. crashPart, if not
// empty, takes the place of the second or the third.
func promptParts(i int, request, crashPart string) string {
	first, second, third := "a1:100,", fmt.Sprintf("b%x:200,", i%subjects), fmt.Sprintf("d%x:150,", i%(2*subjects))
	switch {
	case crashPart != "" && i%3 == 2:
		second = crashPart + ":200,"
	case crashPart != "":
		third = crashPart + ":150,"
	case i%2 == 0:
		third = ""
	}
	return first + second + third + fmt.Sprintf("%x:100", matcher.Hash("own part", request))
}

// crashByPrompts waits for promptStart and sends requests that crash endpoints, each
// to a random instance, for the given time. It returns when the endpoints are back,
// or at once if the run ends with this fault.
func (s *Soaker) crashByPrompts(ctx context.Context, length clock.Millis) {
	sleep(ctx, promptStart)
	end := s.checker.recordFault(faultPeriod{prompts: true})
	s.logFault("prompts with the part %s crash endpoints, %d ms", s.crashPart, length)
	sending, cancel := context.WithTimeout(ctx, length.Duration())
	defer cancel()
	c := &caller{soak: s, client: &http.Client{Transport: &http.Transport{}}}
	defer c.client.CloseIdleConnections()
	var requests sync.WaitGroup
	for i := 0; sending.Err() == nil; i++ {
		// Both addresses are chosen here, since instance is not safe for concurrent use.
		if first, again := c.instance(sending), c.instance(sending); first != "" {
			requests.Go(func() {
				id := fmt.Sprintf("crash-%d", i)
				q := request{
					id: id, kind: matcher.Stream, method: http.MethodPost, target: "/stream/" + id,
					key: s.operator.pickKey(), prompt: promptParts(i, id, s.crashPart), crashes: true,
				}
				if a := c.send(sending, first, q); (a.err != nil || a.status != 200) && sending.Err() == nil {
					q.id += "-again"
					c.send(sending, again, q)
				}
			})
		}
		sleep(sending, promptGap*9/10+rand.N(promptGap/5))
	}
	requests.Wait()
	end()
	if !s.options.PromptsOnly {
		sleep(ctx, restartTime*6/5)
	}
}

// crashOnPrompt works on a request, sends the response header of half of the requests
// and crashes the endpoint, unless its given generation has ended meanwhile.
func (e *endpoint) crashOnPrompt(w http.ResponseWriter, request string, generation int) {
	time.Sleep((20 + clock.Millis(rand.IntN(60))).Duration())
	if rand.IntN(2) == 0 {
		w.Header().Set(platform.HeaderNames().Signature, "signed "+request)
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush() // the router may have closed the connection
	}
	e.mu.Lock()
	crashes := e.generation == generation
	if crashes {
		e.generation++ // it crashes once
	}
	e.mu.Unlock()
	if crashes {
		e.soak.checker.recordPrompt(&e.soak.checker.crashes, request)
		e.soak.logFault("%s crashes endpoint %d", request, e.index)
		restarts := e.faultMu.TryLock() // otherwise the fault in progress restarts it
		e.crash()
		if restarts {
			e.proxy.Load().Close() // refuses connections
			go e.restart()
		}
	}
	panic(http.ErrAbortHandler) // ends the connection
}

// restart restarts an endpoint that a prompt has crashed, mostly with a new id, unless
// the run ends before. Its entry stays in the store until then. The caller must hold
// faultMu, which restart unlocks.
func (e *endpoint) restart() {
	defer e.faultMu.Unlock()
	select {
	case <-e.soak.done:
		return
	case <-time.After((restartTime*9/10 + rand.N(restartTime/5)).Duration()):
	}
	sameID := rand.Float64() < sameIDShare
	if !sameID {
		e.remove()
	}
	e.soak.recordError(e.open(sameID))
}
