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

// caller sends requests as a client of the fleet does: it asks which addresses
// to use, keeps the answer for its lifetime, goes to another address when a
// refusal says that nothing ran, and continues broken answers.
type caller struct {
	client    *http.Client
	bootstrap []string

	mu      sync.Mutex
	random  *rand.Rand
	entries []server.Entry
	until   time.Time
}

func newCaller(bootstrap []string, seed uint64) *caller {
	return &caller{
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 256,
		}},
		bootstrap: bootstrap, random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// entry returns an address to use now, not one of those to avoid if possible.
func (c *caller) entry(ctx context.Context, avoid map[string]bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
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

// refresh asks any address for the entries. The old ones are kept if none answers.
func (c *caller) refresh(ctx context.Context) {
	addresses := append([]string(nil), c.bootstrap...)
	for _, e := range c.entries {
		addresses = append(addresses, e.Address)
	}
	c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, a := range addresses {
		var e server.Entries
		asked := time.Now()
		if c.get(ctx, "http://"+a+"/v1/entries", &e) == nil && len(e.Entries) > 0 {
			c.entries, c.until = e.Entries, asked.Add(e.LifetimeMS.Duration())
			return
		}
	}
}

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

// callError is a refusal as a caller sees it.
type callError struct {
	Reason refuser.Reason    `json:"reason"`
	Run    refuser.Execution `json:"run"`
}

// errBroken tells that an answer ended without its end marker.
var errBroken = errors.New("demonstrator: the answer broke off")

// request is one model request of a caller.
type request struct {
	id, workspace, model, session, token, prompt string
}

// outcome is what came of a request.
type outcome struct {
	version  string
	token    string
	text     string
	whole    bool
	first    time.Duration // from the request to the first piece
	took     time.Duration
	refusal  callError
	attempts int
	broken   int      // times that a stream broke off
	brokenAt []string // addresses at which it did
}

// chat sends a request until the answer is whole or the deadline passes.
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
			o.whole, o.took = true, time.Since(start)
			return o
		}
		if errors.Is(err, errBroken) && o.text != "" {
			o.broken++
			o.brokenAt = append(o.brokenAt, address)
		}
		avoid[address] = true
		sleep(ctx, 20*time.Millisecond)
	}
	o.took = time.Since(start)
	return o
}

// stream sends one request and reads its events into o.
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

func readRefusal(r io.Reader, into *callError) error {
	var body struct {
		Error callError `json:"error"`
	}
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		return err
	}
	*into = body.Error
	return errors.Newf("refused: %s", body.Error.Reason)
}

// readEvents adds the pieces of a stream to o. It returns nil only after the
// end marker.
func readEvents(r io.Reader, start time.Time, o *outcome) error {
	events := framer.NewReader(r, framer.MaxEventBytes)
	for {
		name, data, err := events.Next()
		if err != nil {
			return errBroken
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
			return errBroken
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 {
			return errBroken
		}
		if text := chunk.Choices[0].Delta.Content; text != "" {
			if o.text == "" {
				o.first = time.Since(start)
			}
			o.text += text
		}
	}
}

// book sends a booking until it is confirmed or refused for good.
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
			last = callError{Run: refuser.ExecutionUnknown}
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
