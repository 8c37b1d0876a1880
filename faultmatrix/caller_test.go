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
	// The deadline of an attempt is sent along with it and ends deadlineSlack before
	// the caller gives up, so that the refusal arrives before the next attempt.
	chatDeadline  = 7500 * time.Millisecond
	orderDeadline = 3500 * time.Millisecond
	deadlineSlack = 500 * time.Millisecond
)

// caller is a client of the fleet. It caches the list of instances for the lifetime that
// the response states, retries a failed request at another address, and continues a model
// answer whose stream broke off.
type caller struct {
	client    *http.Client
	bootstrap []string // addresses that are always known

	mu        sync.Mutex
	random    *rand.Rand
	entries   []server.Entry
	expiresAt time.Time
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

// fetchEntries returns the instances that the instance at address lists.
func (c *caller) fetchEntries(ctx context.Context, address string) ([]server.Entry, error) {
	e, err := c.fetchEntriesResponse(ctx, address)
	return e.Entries, err
}

// fetchEntriesResponse returns the same list with its lifetime.
func (c *caller) fetchEntriesResponse(ctx context.Context, address string) (server.Entries, error) {
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

// entry returns the address of a random instance, or "" if none is known. It returns one
// of the addresses to avoid only if there is no other.
func (c *caller) entry(ctx context.Context, avoid map[string]bool) string {
	c.mu.Lock()
	expired := time.Now().After(c.expiresAt)
	addresses := append([]string(nil), c.bootstrap...)
	c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	c.mu.Unlock()
	for _, a := range addresses {
		if !expired {
			break
		}
		requestCtx, cancel := context.WithTimeout(ctx, time.Second)
		requested := time.Now()
		e, err := c.fetchEntriesResponse(requestCtx, a)
		cancel()
		if err == nil && len(e.Entries) > 0 {
			c.mu.Lock()
			c.entries, c.expiresAt = e.Entries, requested.Add(e.LifetimeMS.Duration())
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

// callError is an error response as a caller sees it.
type callError struct {
	Reason    refuser.Reason    `json:"reason"`
	Execution refuser.Execution `json:"run"`
}

// chatRequest is a model request. session and token may be empty.
type chatRequest struct {
	id, model, session, token, prompt string
	first                             string // address for the first attempt, or "" for any
}

// outcome is the outcome of a request after all its attempts.
type outcome struct {
	version, token, text string
	complete             bool
	refusals             []callError // of all refused attempts, in order
	noResponse           bool        // an attempt ended without an explicit response
	brokenAddresses      []string    // addresses at which a stream ended early
}

// lastRefusal returns the last refusal, or one of unknown execution if there is none.
func (o outcome) lastRefusal() callError {
	if len(o.refusals) == 0 {
		return callError{Execution: refuser.ExecutionUnknown}
	}
	return o.refusals[len(o.refusals)-1]
}

// remaining returns the time until the deadline of ctx.
func remaining(ctx context.Context) time.Duration {
	end, _ := ctx.Deadline()
	return time.Until(end)
}

// summary describes the failed attempts for a failure message.
func (o outcome) summary() string {
	counts := map[callError]int{}
	for _, e := range o.refusals {
		counts[e]++
	}
	return fmt.Sprintf("refusals %v, attempts without a response: %v", counts, o.noResponse)
}

// errStreamBroken is returned if a stream ended without its end marker or with an error
// event.
var errStreamBroken = errors.New("the stream broke off")

// chat sends a model request until the answer is complete, the version is withdrawn or
// ctx ends. An answer that broke off is continued from the text received so far.
func (c *caller) chat(ctx context.Context, r chatRequest) outcome {
	var o outcome
	avoid := map[string]bool{}
	address := r.first
	for remaining(ctx) > deadlineSlack {
		if address == "" {
			address = c.entry(ctx, avoid)
		}
		if address != "" {
			err := c.stream(ctx, address, r, &o)
			if err == nil {
				o.complete = true
				return o
			}
			if errors.Is(err, errStreamBroken) {
				o.brokenAddresses = append(o.brokenAddresses, address)
			}
			if o.lastRefusal().Reason == refuser.ErrWithdrawn.Reason {
				return o
			}
			avoid[address] = true
		}
		address = ""
		time.Sleep(50 * time.Millisecond)
	}
	return o
}

// stream makes one attempt and adds the events of its stream to o.
func (c *caller) stream(ctx context.Context, address string, r chatRequest, o *outcome) error {
	limit := min(chatDeadline, remaining(ctx)-deadlineSlack)
	ctx, cancel := context.WithTimeout(ctx, limit+deadlineSlack)
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
		o.noResponse = true
		return err
	}
	defer resp.Body.Close()
	if !statusOK(resp) {
		return o.addRefusal(resp.Body)
	}
	o.version, o.token = resp.Header.Get("X-Model-Version"), resp.Header.Get("X-Session-Token")
	return readEvents(resp.Body, o)
}

// post sends a POST request with the key of the workspace. Headers with an empty value
// are left out.
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

// addRefusal decodes an error response and adds it to the outcome. It always returns an
// error.
func (o *outcome) addRefusal(r io.Reader) error {
	var body struct {
		Error callError `json:"error"`
	}
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		o.noResponse = true
		return err
	}
	o.refusals = append(o.refusals, body.Error)
	return fmt.Errorf("request refused: %s", body.Error.Reason)
}

// readEvents appends the text of a stream to o. It returns nil only after the end marker
// of the stream.
func readEvents(r io.Reader, o *outcome) error {
	events := framer.NewReader(r, framer.MaxEventBytes)
	for {
		name, data, err := events.Next()
		if err != nil {
			o.noResponse = true
			return errStreamBroken
		}
		if string(data) == "[DONE]" {
			return nil
		}
		if name == "error" {
			_ = o.addRefusal(bytes.NewReader(data))
			return errStreamBroken
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 {
			o.noResponse = true
			return errStreamBroken
		}
		o.text += chunk.Choices[0].Delta.Content
	}
}

// isCorrect reports whether the text is the complete answer that the version gives to
// the prompt.
func (o outcome) isCorrect(prompt string) bool {
	full := "user: " + prompt + "\n"
	return o.text == engineemulator.Answer(o.version, full, engineemulator.Length(o.version, full, meanAnswerTokens))
}

// orderOutcome is the outcome of one delivery of an order after all its attempts.
type orderOutcome struct {
	outcome
	body string
}

// sendOrder sends an order until it is confirmed, its outcome is reported as unknown, or
// ctx ends.
func (c *caller) sendOrder(ctx context.Context, key, first string) orderOutcome {
	var o orderOutcome
	avoid := map[string]bool{}
	address := first
	for remaining(ctx) > deadlineSlack {
		if address == "" {
			address = c.entry(ctx, avoid)
		}
		if address != "" {
			if c.deliverOrder(ctx, address, key, &o) || o.lastRefusal().Reason == refuser.ErrOutcomeUnknown.Reason {
				return o
			}
			avoid[address] = true
		}
		address = ""
		time.Sleep(100 * time.Millisecond)
	}
	return o
}

// deliverOrder makes one attempt and reports whether the order was confirmed.
func (c *caller) deliverOrder(ctx context.Context, address, key string, o *orderOutcome) bool {
	limit := min(orderDeadline, remaining(ctx)-deadlineSlack)
	ctx, cancel := context.WithTimeout(ctx, limit+deadlineSlack)
	defer cancel()
	resp, err := c.post(ctx, address, "/v1/services/bookings/bookings", []byte(`{"visit":"`+key+`"}`), map[string]string{
		"Idempotency-Key": key, "X-Deadline-Ms": strconv.FormatInt(max(1, limit.Milliseconds()), 10),
	})
	if err != nil {
		o.noResponse = true
		return false
	}
	defer resp.Body.Close()
	if !statusOK(resp) {
		_ = o.addRefusal(resp.Body)
		return false
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		o.noResponse = true
		return false
	}
	o.complete, o.body = true, string(b)
	return true
}
