package faultmatrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/engineemulator"
	"rosemaryarch.example/rosemaryarch/framer"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/server"
)

const (
	workspace = "fukuoka-fitters"
	// An attempt's deadline is sent with it, so that its refusal arrives before
	// the caller gives up and goes to another address.
	chatDeadline  = 7500 * time.Millisecond
	orderDeadline = 3500 * time.Millisecond
	slack         = 500 * time.Millisecond
)

// caller keeps the entries for their lifetime, goes to another address after a
// failure, and continues broken answers.
type caller struct {
	client    *http.Client
	bootstrap []string

	mu      sync.Mutex
	random  *rand.Rand
	entries []server.Entry
	until   time.Time
}

func newCaller(dial func(context.Context, string, string) (net.Conn, error), bootstrap []string) *caller {
	return &caller{
		client: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 64,
		}},
		bootstrap: bootstrap, random: rand.New(rand.NewPCG(seed, 1)),
	}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

func (c *caller) ask(ctx context.Context, address string) ([]server.Entry, error) {
	e, err := c.askAll(ctx, address)
	return e.Entries, err
}

func (c *caller) askAll(ctx context.Context, address string) (server.Entries, error) {
	var e server.Entries
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return e, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return e, err
	}
	defer resp.Body.Close()
	return e, json.NewDecoder(resp.Body).Decode(&e)
}

// entry returns an address to use now, if possible not one of those to avoid.
func (c *caller) entry(ctx context.Context, avoid map[string]bool) string {
	c.mu.Lock()
	expired := time.Now().After(c.until)
	known := append([]string(nil), c.bootstrap...)
	c.random.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	c.mu.Unlock()
	for _, a := range known {
		if !expired {
			break
		}
		one, cancel := context.WithTimeout(ctx, time.Second)
		asked := time.Now()
		e, err := c.askAll(one, a)
		cancel()
		if err == nil && len(e.Entries) > 0 {
			c.mu.Lock()
			c.entries, c.until = e.Entries, asked.Add(e.LifetimeMS.Duration())
			c.mu.Unlock()
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable, all []string
	for _, e := range c.entries {
		all = append(all, e.Address)
		if !avoid[e.Address] {
			usable = append(usable, e.Address)
		}
	}
	if len(usable) == 0 {
		usable = all
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[c.random.IntN(len(usable))]
}

type callError struct {
	Reason refuser.Reason    `json:"reason"`
	Run    refuser.Execution `json:"run"`
}

type chatCall struct {
	id, model, session, token, prompt string
	first                             string // address of the first attempt, "" for any
}

type outcome struct {
	version, token, text string
	whole                bool
	refusals             []callError // of every attempt, in order
	unknown              bool        // an attempt ended without an explicit answer
	brokenAt             []string    // addresses at which a stream ended early
}

func (o outcome) last() callError {
	if len(o.refusals) == 0 {
		return callError{Run: refuser.ExecutionUnknown}
	}
	return o.refusals[len(o.refusals)-1]
}

// remaining returns the time until the deadline of ctx.
func remaining(ctx context.Context) time.Duration {
	end, _ := ctx.Deadline()
	return time.Until(end)
}

// story describes the attempts in short.
func (o outcome) story() string {
	counts := map[callError]int{}
	for _, e := range o.refusals {
		counts[e]++
	}
	return fmt.Sprintf("refusals %v, without an answer: %v", counts, o.unknown)
}

var errBroken = errors.New("the answer broke off")

// chat sends a request until the answer is whole or ctx ends.
func (c *caller) chat(ctx context.Context, r chatCall) outcome {
	var o outcome
	avoid := map[string]bool{}
	address := r.first
	for remaining(ctx) > slack {
		if address == "" {
			address = c.entry(ctx, avoid)
		}
		if address != "" {
			err := c.stream(ctx, address, r, &o)
			if err == nil {
				o.whole = true
				return o
			}
			if errors.Is(err, errBroken) {
				o.brokenAt = append(o.brokenAt, address)
			}
			if o.last().Reason == refuser.ErrWithdrawn.Reason {
				return o
			}
			avoid[address] = true
		}
		address = ""
		time.Sleep(50 * time.Millisecond)
	}
	return o
}

func (c *caller) stream(ctx context.Context, address string, r chatCall, o *outcome) error {
	limit := min(chatDeadline, remaining(ctx)-slack)
	ctx, cancel := context.WithTimeout(ctx, limit+slack)
	defer cancel()
	model, token := r.model, r.token
	if o.text != "" {
		service, _, _ := strings.Cut(model, ":")
		model = service + ":" + o.version
	}
	if o.token != "" {
		token = o.token
	}
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "partial": o.text,
		"messages": []map[string]string{{"role": "user", "content": r.prompt}},
	})
	if err != nil {
		return err
	}
	resp, err := c.post(ctx, address, "/v1/chat/completions", body, map[string]string{
		"X-Request-Id": r.id, "X-Session-Id": r.session, "X-Session-Token": token,
		"X-Deadline-Ms": strconv.FormatInt(max(1, limit.Milliseconds()), 10),
	})
	if err != nil {
		o.unknown = true
		return err
	}
	defer resp.Body.Close()
	if !statusOK(resp) {
		return o.refuse(resp.Body)
	}
	o.version, o.token = resp.Header.Get("X-Model-Version"), resp.Header.Get("X-Session-Token")
	return readEvents(resp.Body, o)
}

func (c *caller) post(
	ctx context.Context, address, path string, body []byte, header map[string]string,
) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer demo-key-"+workspace)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	return c.client.Do(req)
}

func (o *outcome) refuse(r io.Reader) error {
	var body struct {
		Error callError `json:"error"`
	}
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		o.unknown = true
		return err
	}
	o.refusals = append(o.refusals, body.Error)
	return fmt.Errorf("refused: %s", body.Error.Reason)
}

// readEvents adds the pieces of a stream to o. It returns nil only after the
// end marker.
func readEvents(r io.Reader, o *outcome) error {
	events := framer.NewReader(r, framer.MaxEventBytes)
	for {
		name, data, err := events.Next()
		if err != nil {
			o.unknown = true
			return errBroken
		}
		if string(data) == "[DONE]" {
			return nil
		}
		if name == "error" {
			_ = o.refuse(bytes.NewReader(data))
			return errBroken
		}
		var piece struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal(data, &piece); err != nil || len(piece.Choices) != 1 {
			o.unknown = true
			return errBroken
		}
		o.text += piece.Choices[0].Delta.Content
	}
}

// right reports whether the text is the one whole answer to the prompt.
func (o outcome) right(prompt string) bool {
	full := "user: " + prompt + "\n"
	return o.text == engineemulator.Answer(o.version, full, engineemulator.Length(o.version, full, answerTokens))
}

// order is what came of one delivery of an order.
type order struct {
	outcome
	body string
}

// book delivers an order until it is confirmed, its outcome is unknown for good,
// or ctx ends.
func (c *caller) book(ctx context.Context, key, first string) order {
	var o order
	avoid := map[string]bool{}
	address := first
	for remaining(ctx) > slack {
		if address == "" {
			address = c.entry(ctx, avoid)
		}
		if address != "" {
			if c.deliver(ctx, address, key, &o) || o.last().Reason == refuser.ErrOutcomeUnknown.Reason {
				return o
			}
			avoid[address] = true
		}
		address = ""
		time.Sleep(100 * time.Millisecond)
	}
	return o
}

func (c *caller) deliver(ctx context.Context, address, key string, o *order) bool {
	limit := min(orderDeadline, remaining(ctx)-slack)
	ctx, cancel := context.WithTimeout(ctx, limit+slack)
	defer cancel()
	resp, err := c.post(ctx, address, "/v1/services/bookings/bookings", []byte(`{"visit":"`+key+`"}`), map[string]string{
		"Idempotency-Key": key, "X-Deadline-Ms": strconv.FormatInt(max(1, limit.Milliseconds()), 10),
	})
	if err != nil {
		o.unknown = true
		return false
	}
	defer resp.Body.Close()
	if !statusOK(resp) {
		_ = o.refuse(resp.Body)
		return false
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		o.unknown = true
		return false
	}
	o.whole, o.body = true, string(b)
	return true
}
