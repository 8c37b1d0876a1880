package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/platform"
	"rosemaryarch.example/rosemaryarch/splitter"
)

const (
	// directoryCacheTime is the lifetime of a cached directory answer.
	directoryCacheTime = 2 * clock.Second
	// directoryTimeout bounds one directory query.
	directoryTimeout = time.Second
	// callPause is the maximum pause between two requests of a caller.
	callPause = 60 * time.Millisecond
)

// caller is a client that finds instances through the directory and keeps its
// connections open.
type caller struct {
	soak       *Soaker
	number     int
	client     *http.Client
	addresses  []string
	resolvedAt clock.Millis // time of the directory answer with addresses
}

// runCaller sends requests sequentially until the callers are stopped.
func (s *Soaker) runCaller(ctx context.Context, number int) {
	c := &caller{soak: s, number: number, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	defer c.client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		select {
		case <-s.done:
			return
		case <-time.After(rand.N(callPause)):
		}
		address := c.instance(ctx)
		if address == "" {
			continue
		}
		if a := c.send(ctx, address, c.newRequest(i)); a.err != nil {
			c.addresses, c.resolvedAt = nil, 0
		}
	}
}

// instance returns the address of a random instance, or "" if none is known. It
// tries up to three directories if the cached answer has expired.
func (c *caller) instance(ctx context.Context) string {
	s := c.soak
	for range 3 {
		if len(c.addresses) > 0 && s.clock.Now()-c.resolvedAt < directoryCacheTime {
			break
		}
		i := rand.IntN(len(s.instances))
		if list := c.queryDirectory(ctx, s.address(firstInstanceHost+i, directoryPort)); len(list) > 0 {
			c.addresses, c.resolvedAt = list, s.clock.Now()
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// queryDirectory returns the addresses that the directory of an instance gives to
// the data centre of the caller; nil on an error.
func (c *caller) queryDirectory(ctx context.Context, directory string) []string {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	query := url.Values{"name": {host}, platform.ZoneQuery: {dataCentre(c.number)}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+directory+platform.DirectoryPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return nil // the instance is not reachable
	}
	defer resp.Body.Close()
	var answer platform.DirectoryResponse
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil
	}
	return answer.Addresses
}

// requestKinds are the kinds of requests with their route and method.
var requestKinds = []struct {
	route  string
	kind   matcher.Kind
	method string
}{
	{"book", matcher.Unsafe, http.MethodPost}, {"check", matcher.Safe, http.MethodGet},
	{"stream", matcher.Stream, http.MethodPost},
}

// newRequest returns the i-th request of the caller, of a random kind.
func (c *caller) newRequest(i int) request {
	k := requestKinds[rand.IntN(len(requestKinds))]
	q := request{
		id: fmt.Sprintf("c%d-%d", c.number, i), kind: k.kind, method: k.method, key: c.soak.operator.pickKey(),
	}
	q.target = "/" + k.route + "/" + q.id + "?n=" + strconv.Itoa(i)
	if k.method == http.MethodPost {
		q.body = strings.Repeat("body of "+q.id+" ", 1+i%50)
	}
	q.prompt = promptParts(i, q.id, "")
	return q
}

// send sends a request to an instance and records request and answer with the
// checker.
func (c *caller) send(ctx context.Context, address string, q request) answer {
	s, n, wait := c.soak, platform.HeaderNames(), timeout(q.kind)
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	q.sent, q.instance = s.clock.Now(), address
	s.checker.recordRequest(q)
	a := answer{id: q.id, instance: address}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.target, strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set(n.ID, q.id)
	r.Header.Set(n.Key, q.key)
	r.Header.Set(n.Deadline, strconv.FormatInt(int64(wait), 10))
	if q.kind == matcher.Stream {
		r.Header.Set(n.Model, "*")
		r.Header.Set(n.Tokens, "400,100")
		r.Header.Set(n.Prefix, q.prompt)
	}
	resp, err := c.client.Do(r)
	if err == nil {
		a.status, a.signature = resp.StatusCode, resp.Header.Get(n.Signature)
		a.problem, err = read(q, resp)
		_ = resp.Body.Close() // the body has been read or has failed
	}
	a.err, a.ended = err, s.clock.Now()
	a.timedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
	s.checker.recordAnswer(a)
	return a
}

// read reads an answer and compares it with the expected one. problem describes
// the difference if the answer looks complete; err is set if it was cut.
func read(q request, resp *http.Response) (problem string, err error) {
	if resp.StatusCode != http.StatusOK || q.kind != matcher.Stream {
		body, err := io.ReadAll(resp.Body)
		if err == nil && resp.StatusCode == http.StatusOK && string(body) != plainAnswer(q.id) {
			problem = fmt.Sprintf("body of %d bytes, want %d", len(body), len(plainAnswer(q.id)))
		}
		return problem, err
	}
	s, next := splitter.New(resp.Body), 1
	for {
		data, _, count, err := s.Next()
		switch {
		case errors.Is(err, io.EOF) && next <= streamLength(q.id):
			return fmt.Sprintf("regular end after %d of %d events", next-1, streamLength(q.id)), nil
		case errors.Is(err, io.EOF):
			return problem, nil
		case err != nil:
			return problem, err
		}
		want := ""
		for i := range count {
			want += event(q.id, next+i)
		}
		if string(data) != want && problem == "" {
			problem = fmt.Sprintf("events from %d on: got %q, want %q", next, data, want)
		}
		next += count
	}
}
