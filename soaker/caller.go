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
	// namesAge is how long a caller keeps an answer of the directory.
	namesAge = 2 * clock.Second
	// namesTimeout bounds one question.
	namesTimeout = time.Second
	// callPause is the longest pause between two requests of a caller.
	callPause = 60 * time.Millisecond
)

// caller keeps connections open until the instance is gone.
type caller struct {
	soak      *Soaker
	number    int
	client    *http.Client
	addresses []string
	asked     clock.Millis
}

// call sends requests one after the other until the run ends.
func (s *Soaker) call(ctx context.Context, number int) {
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
		if a := c.send(ctx, address, i); a.err != nil {
			c.addresses, c.asked = nil, 0
		}
	}
}

// instance returns the address of an instance, "" if none is known.
func (c *caller) instance(ctx context.Context) string {
	s := c.soak
	for range 3 {
		if len(c.addresses) > 0 && s.clock.Now()-c.asked < namesAge {
			break
		}
		i := rand.IntN(len(s.instances))
		if list := c.ask(ctx, s.address(firstHost+i, namesPort)); len(list) > 0 {
			c.addresses, c.asked = list, s.clock.Now()
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

func (c *caller) ask(ctx context.Context, directory string) []string {
	ctx, cancel := context.WithTimeout(ctx, namesTimeout)
	defer cancel()
	query := url.Values{"name": {host}, platform.ZoneQuery: {dataCentre(c.number)}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+directory+platform.DirectoryPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return nil // the instance is away
	}
	defer resp.Body.Close()
	var answer platform.DirectoryAnswer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil
	}
	return answer.Addresses
}

// kinds of requests with the method that they use.
var kinds = []struct {
	route  string
	kind   matcher.Kind
	method string
}{
	{"book", matcher.Unsafe, http.MethodPost}, {"check", matcher.Safe, http.MethodGet},
	{"stream", matcher.Stream, http.MethodPost},
}

// send makes one request and tells the checker of it.
func (c *caller) send(ctx context.Context, address string, i int) answer {
	s, n, k := c.soak, platform.Names(), kinds[rand.IntN(len(kinds))]
	wait := timeout(k.kind)
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	q := request{
		id: fmt.Sprintf("c%d-%d", c.number, i), kind: k.kind, method: k.method, key: s.config.pick(), sent: s.clock.Now(),
	}
	q.target = "/" + k.route + "/" + q.id + "?n=" + strconv.Itoa(i)
	if k.method == http.MethodPost {
		q.body = strings.Repeat("body of "+q.id+" ", 1+i%50)
	}
	s.checker.asked(q)
	a := answer{id: q.id, instance: address}
	r, err := http.NewRequestWithContext(ctx, k.method, "http://"+address+q.target, strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set(n.ID, q.id)
	r.Header.Set(n.Key, q.key)
	r.Header.Set(n.Deadline, strconv.FormatInt(int64(wait), 10))
	if k.kind == matcher.Stream {
		r.Header.Set(n.Model, "*")
		r.Header.Set(n.Tokens, "400,100")
		r.Header.Set(n.Prefix, fmt.Sprintf("a1:100,b%d:200,c%d:100", i%7, i))
	}
	resp, err := c.client.Do(r)
	if err == nil {
		a.status, a.signature = resp.StatusCode, resp.Header.Get(n.Signature)
		a.problem, err = read(q, resp)
		_ = resp.Body.Close() // it has been read, or is broken
	}
	a.err, a.ended = err, s.clock.Now()
	a.timedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
	s.checker.answered(a)
	return a
}

// read reads an answer. problem tells what is wrong in one that looks complete.
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
			return fmt.Sprintf("ends as complete after %d of %d events", next-1, streamLength(q.id)), nil
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
