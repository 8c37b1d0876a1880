package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/framer"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/server"
)

// caller is a client of the fleet. It caches the list of instances for the lifetime
// that the response states, retries a failed request at another address, and
// continues a model answer whose stream broke off.
type caller struct {
	client    *http.Client
	bootstrap []string // addresses that are always known

	mu        sync.Mutex
	random    *rand.Rand
	entries   []server.Entry
	expiresAt time.Time
}

func newCaller(bootstrap []string, seed uint64) *caller {
	return &caller{
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 256,
		}},
		bootstrap: bootstrap, random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// entry returns the address of a random instance, or "" if none is known. It returns
// one of the addresses to avoid only if there is no other.
func (c *caller) entry(ctx context.Context, avoid map[string]bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expiresAt) {
		c.refresh(ctx)
	}
	var usable []string
	for _, e := range c.entries {
		if !avoid[e.Address] {
			usable = append(usable, e.Address)
		}
	}
	if len(usable) == 0 {
		for _, e := range c.entries {
			usable = append(usable, e.Address)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[c.random.IntN(len(usable))]
}

// refresh updates the list of instances from the first known address that responds.
// The old list is kept if none does.
func (c *caller) refresh(ctx context.Context) {
	addresses := append([]string(nil), c.bootstrap...)
	for _, e := range c.entries {
		addresses = append(addresses, e.Address)
	}
	c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, a := range addresses {
		var e server.Entries
		requested := time.Now()
		if c.get(ctx, "http://"+a+"/v1/entries", &e) == nil && len(e.Entries) > 0 {
			c.entries, c.expiresAt = e.Entries, requested.Add(e.LifetimeMS.Duration())
			return
		}
	}
}

// get decodes the JSON response of a GET request, with a timeout of 1 s.
func (c *caller) get(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// callError is an error response as a caller sees it.
type callError struct {
	Reason    refuser.Reason    `json:"reason"`
	Execution refuser.Execution `json:"run"`
}

// errStreamBroken is returned if a stream ended without its end marker or with an
// error event.
var errStreamBroken = errors.New("demonstrator: the stream broke off")

// request is a model request. session and token may be empty.
type request struct {
	id, workspace, model, session, token, prompt string
}

// outcome is the outcome of a model request after all its attempts.
type outcome struct {
	version         string
	token           string
	text            string
	complete        bool
	firstToken      time.Duration // from the request to the first token
	duration        time.Duration
	refusal         callError
	attempts        int
	brokenStreams   int      // number of streams that broke off after the first token
	brokenAddresses []string // addresses of the instances at which they did
}

// chat sends a model request until the answer is complete or the deadline passes. An
// answer that broke off is continued from the text received so far, with the version
// that it started with.
func (c *caller) chat(ctx context.Context, r request) outcome {
	start := time.Now()
	var o outcome
	avoid := map[string]bool{}
	for ctx.Err() == nil {
		address := c.entry(ctx, avoid)
		if address == "" {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		o.attempts++
		err := c.stream(ctx, address, r, start, &o)
		if err == nil {
			o.complete, o.duration = true, time.Since(start)
			return o
		}
		if errors.Is(err, errStreamBroken) && o.text != "" {
			o.brokenStreams++
			o.brokenAddresses = append(o.brokenAddresses, address)
		}
		avoid[address] = true
		sleep(ctx, 20*time.Millisecond)
	}
	o.duration = time.Since(start)
	return o
}

// stream makes one attempt and adds the events of its stream to o.
func (c *caller) stream(ctx context.Context, address string, r request, start time.Time, o *outcome) error {
	model := r.model
	if o.text != "" {
		service, _, _ := strings.Cut(model, ":")
		model = service + ":" + o.version
	}
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "partial": o.text,
		"messages": []map[string]string{{"role": "user", "content": r.prompt}},
	})
	if err != nil {
		return err
	}
	token := r.token
	if o.token != "" {
		token = o.token
	}
	resp, err := c.post(ctx, address, "/v1/chat/completions", r.workspace, body, map[string]string{
		"X-Request-Id": r.id, "X-Session-Id": r.session, "X-Session-Token": token,
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp.Body, &o.refusal)
	}
	o.version, o.token = resp.Header.Get("X-Model-Version"), resp.Header.Get("X-Session-Token")
	return readEvents(resp.Body, start, o)
}

// post sends a POST request with the key of the workspace. Headers with an empty value
// are left out.
func (c *caller) post(
	ctx context.Context, address, path, workspace string, body []byte, header map[string]string,
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

// readRefusal decodes the body of an error response. It always returns an error.
func readRefusal(r io.Reader, into *callError) error {
	var body struct {
		Error callError `json:"error"`
	}
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		return err
	}
	*into = body.Error
	return errors.Newf("request refused: %s", body.Error.Reason)
}

// readEvents appends the text of a stream to o. It returns nil only after the end
// marker of the stream.
func readEvents(r io.Reader, start time.Time, o *outcome) error {
	events := framer.NewReader(r, framer.MaxEventBytes)
	for {
		name, data, err := events.Next()
		if err != nil {
			return errStreamBroken
		}
		if string(data) == "[DONE]" {
			return nil
		}
		if name == "error" {
			var body struct {
				Error callError `json:"error"`
			}
			_ = json.Unmarshal(data, &body)
			o.refusal = body.Error
			return errStreamBroken
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 {
			return errStreamBroken
		}
		if text := chunk.Choices[0].Delta.Content; text != "" {
			if o.text == "" {
				o.firstToken = time.Since(start)
			}
			o.text += text
		}
	}
}

// book sends a booking until it is confirmed, its outcome is reported as unknown, or
// ctx ends. It returns the last error if the booking was not confirmed.
func (c *caller) book(ctx context.Context, workspace, service, key string) (confirmed bool, last callError) {
	avoid := map[string]bool{}
	for ctx.Err() == nil {
		address := c.entry(ctx, avoid)
		if address == "" {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		body := []byte(`{"visit":"` + key + `"}`)
		resp, err := c.post(ctx, address, "/v1/services/"+service+"/"+service, workspace, body,
			map[string]string{"Idempotency-Key": key})
		if err != nil {
			last = callError{Execution: refuser.ExecutionUnknown}
			avoid[address] = true
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		if resp.StatusCode < http.StatusBadRequest {
			resp.Body.Close()
			return true, callError{}
		}
		_ = readRefusal(resp.Body, &last)
		resp.Body.Close()
		if last.Reason == refuser.ErrOutcomeUnknown.Reason {
			return false, last
		}
		avoid[address] = true
		sleep(ctx, 100*time.Millisecond)
	}
	return false, last
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
