package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/breaker"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/forwarder"
	"rosemaryarch.example/rosemaryarch/logger"
	"rosemaryarch.example/rosemaryarch/matcher"
	"rosemaryarch.example/rosemaryarch/spooler"
	"rosemaryarch.example/rosemaryarch/stager"
)

const (
	smallBuffer   = 32 << 10 // of sockets
	spoolEvents   = 400
	spoolCut      = 350 // events before a bad end; more than the buffers of the sockets hold
	spoolEventLen = 1 << 10
	chunkEnd      = "0\r\n\r\n"
)

func spoolEvent(i int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", spoolEventLen))
}

// impatient sends a chunked stream, from the requested position on, and cuts it off once it
// stays unread for the given time. A request without a position gets spoolCut events and
// first; the others get the rest and a regular end.
func impatient(patience time.Duration, first string) handler {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_ = c.(*net.TCPConn).SetWriteBuffer(smallBuffer)
		from, to, end := 1, spoolEvents, chunkEnd
		if last, err := strconv.Atoi(r.Header.Get(names.LastEvent)); err == nil {
			from = last + 1
		} else if first != chunkEnd {
			to, end = spoolCut, first
		}
		head := strings.ReplaceAll(streamHead, "ID", r.Header.Get("X-Id"))
		_, err := io.WriteString(c, strings.Replace(head, "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n", 1))
		for i := from; i <= to && err == nil; i++ {
			_ = c.SetWriteDeadline(time.Now().Add(patience))
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(spoolEvent(i)), spoolEvent(i))
		}
		_, _ = io.WriteString(c, end)
		return err == nil && end == chunkEnd
	}
}

type smallListener struct{ net.Listener }

func (l smallListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.(*net.TCPConn).SetWriteBuffer(smallBuffer)
	}
	return c, err
}

// slowFleet is a fleet with small socket buffers and an account of limit bytes. The request
// log is written to lines.
func slowFleet(t *testing.T, limit int64, r matcher.Route, lines io.Writer, handlers ...handler) *fleet {
	f := newFleet(t, r, handlers...)
	o := &f.dispatcher.options
	o.Spooler = spooler.New(limit)
	o.Logger = logger.New(lines, "test", time.Now)
	o.Forwarder = forwarder.New(forwarder.Options{
		Clock: o.Clock, DialTimeout: 400, IDHeader: names.ID, Memory: f.memory,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err == nil {
				_ = c.(*net.TCPConn).SetReadBuffer(smallBuffer)
			}
			return c, err
		},
	})
	f.frontend = httptest.NewUnstartedServer(f.dispatcher)
	f.frontend.Listener = smallListener{f.frontend.Listener}
	f.frontend.Start()
	t.Cleanup(f.frontend.Close)
	return f
}

// call sends a request and returns a function that reads the response. Until then, the
// caller reads nothing.
func (f *fleet) call(id string) (net.Conn, func() (string, error)) {
	c, err := net.Dial("tcp", f.frontend.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(smallBuffer)
	_, _ = fmt.Fprintf(c, "POST /a/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 12000\r\nContent-Length: 2\r\n\r\nhi",
		names.ID, id, names.Deadline)
	return c, func() (string, error) {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
}

// await waits until the condition holds, for at most the given time.
func await(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

func longRoute(r *matcher.Route) { r.Timeout = 12000 }

func longResumable(r *matcher.Route) { r.Timeout, r.Resumable = 12000, true }

// Guards against a stream that its endpoint cuts off because the router does not read it
// while a caller pauses, against a caller that is held up by others, and against a stream
// that looks complete, or lacks events, if it ends badly while a backlog is held. The stop
// of the process must leave the time to write a backlog.
func TestSlowCallers(t *testing.T) {
	const account = smallestMemory / 8
	tests := map[string]struct {
		limit  int64  // of the account
		slow   int    // callers that read nothing for 5 s
		first  string // end of the first stream
		change func(*matcher.Route)
		stop   bool
		events int // that each caller receives
		sends  int // for each caller
	}{
		"one":                     {account, 1, chunkEnd, longRoute, false, spoolEvents, 1},
		"ten beside a fast one":   {account, 10, chunkEnd, longRoute, false, spoolEvents, 1},
		"stop of the process":     {account, 1, chunkEnd, longRoute, true, spoolEvents, 1},
		"broken":                  {account, 1, "5\r\nid: ", longRoute, false, -spoolCut, 1},
		"out of order":            {account, 1, "8\r\nid: 1\n\n\n\r\n", longRoute, false, -spoolCut, 1},
		"broken, resumed":         {account, 1, "5\r\nid: ", longResumable, false, spoolEvents, 2},
		"cut off unread, resumed": {0, 1, chunkEnd, longResumable, false, spoolEvents, 2},
		"out of order, continued": {account, 1, "8\r\nid: 1\n\n\n\r\n", longResumable, false, spoolEvents, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			handle := impatient(2*time.Second, tt.first)
			f := slowFleet(t, tt.limit, route(matcher.Stream, tt.change), io.Discard, handle, handle)
			check := func(body string, err error) {
				want := max(tt.events, -tt.events)
				complete := tt.events > 0
				if got := strings.Count(body, "id: "); got != want || (err == nil) != complete {
					t.Errorf("got %d events, %v, want %d, complete %v", got, err, want, complete)
				}
			}
			var reads []func() (string, error)
			for i := range tt.slow {
				_, read := f.call(fmt.Sprint("slow-", i))
				reads = append(reads, read)
			}
			end := time.Now().Add(5 * time.Second)
			if tt.slow > 1 {
				_, read := f.call("fast")
				check(read())
			}
			if !time.Now().Before(end) {
				t.Error("the fast caller had to wait for the slow ones")
			}
			stopped := make(chan error, 1)
			if tt.stop {
				time.Sleep(300 * time.Millisecond)
				now := f.dispatcher.options.Clock.Now()
				f.dispatcher.Drain(now+3*clock.Second, now+8*clock.Second)
				go func() { stopped <- f.frontend.Config.Shutdown(context.Background()) }()
			} else {
				stopped <- nil
			}
			time.Sleep(time.Until(end))
			var wait sync.WaitGroup
			for _, read := range reads {
				wait.Go(func() { check(read()) })
			}
			wait.Wait()
			if err := <-stopped; err != nil {
				t.Errorf("stop: %v", err)
			}
			if got, want := f.sent(), tt.sends*(tt.slow+min(1, tt.slow-1)); got != want {
				t.Errorf("sends: got %d, want %d", got, want)
			}
			await(t, 2*time.Second, "nothing held", func() bool { return f.dispatcher.options.Spooler.Held() == 0 })
		})
	}
}

// Guards against a process that holds more than its account for callers that read nothing,
// and against a small backlog that suffers from the large ones.
func TestFullAccount(t *testing.T) {
	const callers, limit = 40, 1 << 20
	var lines bytes.Buffer
	handle := impatient(8*time.Second, chunkEnd)
	f := slowFleet(t, limit, route(matcher.Stream, longRoute), &lines, handle)
	for i := range callers {
		f.call(fmt.Sprint("slow-", i))
	}
	s := f.dispatcher.options.Spooler
	await(t, 3*time.Second, "account is full", func() bool { return s.Held() > limit*7/8 })
	_, read := f.call("fast")
	if body, err := read(); strings.Count(body, "id: ") != spoolEvents || err != nil {
		t.Errorf("caller that reads: got %d bytes, %v", len(body), err)
	}
	const want = `rosemaryarch_dropped_responses_total{reason="client_too_slow"} `
	await(t, 5*time.Second, want+"above 0", func() bool {
		if got, most := s.Held(), int64(limit+callers*(80<<10)); got > most {
			t.Fatalf("held: got %d bytes, want at most %d", got, most)
		}
		w := httptest.NewRecorder()
		f.dispatcher.options.Meter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return strings.Contains(w.Body.String(), want) && !strings.Contains(w.Body.String(), want+"0\n")
	})
	f.dispatcher.options.Logger.Close(clock.Second)
	for _, want := range []string{`"reason":"client_too_slow"`, `"held_max":`} {
		if got := lines.String(); !strings.Contains(got, want) {
			t.Errorf("request log without %s: got %.2000s", want, got)
		}
	}
}

// Guards against goroutines, endpoint connections and bytes that are kept for a caller that
// has left, or that reads nothing until its deadline.
func TestCallerLeavesWithBacklog(t *testing.T) {
	const timeout = 1500
	tests := map[string]struct {
		leave func(*net.TCPConn)
		limit time.Duration
	}{
		"closes":      {func(c *net.TCPConn) { _ = c.Close() }, 500 * time.Millisecond},
		"resets":      {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, 500 * time.Millisecond},
		"half-closes": {func(c *net.TCPConn) { _ = c.CloseWrite() }, 500 * time.Millisecond},
		"stays":       {func(*net.TCPConn) {}, (timeout + 500) * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}, 1)
			f := slowFleet(t, 1<<20, route(matcher.Stream, func(r *matcher.Route) { r.Timeout = timeout }), io.Discard,
				repeatForever(streamHead, "data: x\n\n", 0, ended))
			c, _ := f.call("id-1")
			s := f.dispatcher.options.Spooler
			await(t, 3*time.Second, "backlog", func() bool { return s.Held() > 64<<10 })
			tt.leave(c.(*net.TCPConn))
			await(t, tt.limit, "end of both sides", func() bool {
				return len(ended) == 1 && s.Held() == 0 && f.dispatcher.Active() == 0
			})
		})
	}
}

// Guards against an endpoint that is held responsible for a client: its response stayed
// unread because the client did not read, and it has ended the response for that reason.
func TestSlowClientAccountsForBreak(t *testing.T) {
	tests := map[string]struct {
		limit int64  // of the account
		end   string // of the stream
		want  breaker.State
	}{
		"cut off unread":     {0, chunkEnd, breaker.Closed},
		"broken, never held": {smallestMemory / 8, "5\r\nid: ", breaker.Open},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := slowFleet(t, tt.limit, route(matcher.Stream, func(r *matcher.Route) { r.Timeout, r.Attempts = 12000, 1 }),
				io.Discard, impatient(1500*time.Millisecond, tt.end))
			f.dispatcher.breakers = breaker.New(breaker.Options{
				Window: 5000, MinRequests: 1, ErrorRate: 0.45, ConsecutiveErrors: 1, OpenFor: 10000, OpenMax: 10000,
				MaxProbes: 1, ProbeSuccesses: 1, ProbeTimeout: 3000, MaxOpenShare: 1,
			}, rand.New(rand.NewPCG(1, 1)))
			f.stager.Set(f.confirmed(), stager.Rollout{
				Service: "s", Target: "v1", Duration: clock.Minute, Phase: stager.Active,
			})
			_, read := f.call("id-1")
			time.Sleep(3 * time.Second)
			if body, err := read(); err == nil || body == "" {
				t.Errorf("got %d bytes, complete %v, want an incomplete response", len(body), err == nil)
			}
			await(t, time.Second, "end of the request", func() bool { return f.dispatcher.Active() == 0 })
			f.dispatcher.mu.Lock()
			defer f.dispatcher.mu.Unlock()
			if got := f.dispatcher.breakers.State(f.dispatcher.options.Clock.Now(), "e0"); got != tt.want {
				t.Errorf("circuit: got %v, want %v", got, tt.want)
			}
			broken := false
			for _, report := range f.stager.Reports(f.confirmed()) {
				broken = broken || report.New.Breaks+report.Old.Breaks > 0
			}
			if want := tt.want == breaker.Open; broken != want {
				t.Errorf("break counted by the roll-out: got %v, want %v", broken, want)
			}
		})
	}
}

// slowWriter is a client whose every write counts as slow.
type slowWriter struct{ noSocket }

func (w slowWriter) Write(b []byte) (int, error) {
	time.Sleep(2 * slowWrite.Duration())
	return w.noSocket.Write(b)
}

// Guards against a panic in the goroutine that reads on, which would end the process: only
// in the serving goroutine net/http recovers from it.
func TestPanicOfReader(t *testing.T) {
	d := &Dispatcher{options: Options{Spooler: spooler.New(0)}}
	r := &relay{send: &send{exchange: &exchange{dispatcher: d, writer: slowWriter{}}}, ctx: context.Background()}
	r.backlog.changed.L = &r.backlog.mu
	defer func() {
		if recover() == nil || d.options.Spooler.Held() != 0 {
			t.Errorf("got no panic, or %d bytes held", d.options.Spooler.Held())
		}
	}()
	_, _ = r.write([]byte("data: x\n\n")) // without a splitter
}

// panickingWriter is a client whose writes count as slow, and whose last one panics.
type panickingWriter struct {
	http.ResponseWriter
	left int // writes
}

func (w *panickingWriter) Write(b []byte) (int, error) {
	if w.left--; w.left <= 1 {
		time.Sleep(4 * slowWrite.Duration())
	}
	if w.left <= 0 {
		panic(http.ErrAbortHandler) // which the server does not log
	}
	return w.ResponseWriter.Write(b)
}

func (w *panickingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Guards against a goroutine that reads on, and bytes that stay counted, after a panic of
// the writer: in the write that was found slow, or in one of the backlog.
func TestPanicOfWriter(t *testing.T) {
	tests := map[string]int{"write found slow": 1, "first of the backlog": 2}
	for name, writes := range tests {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}, 1)
			f := slowFleet(t, 1<<20, route(matcher.Stream, longRoute), io.Discard,
				repeatForever(streamHead, "data: x\n\n", time.Millisecond, ended))
			f.frontend.Close() // replaced
			f.frontend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				f.dispatcher.ServeHTTP(&panickingWriter{w, writes}, r)
			}))
			defer f.frontend.Close()
			_, read := f.call("id-1")
			if body, err := read(); err == nil {
				t.Errorf("got %d bytes and no error, want an incomplete response", len(body))
			}
			await(t, 2*time.Second, "end of both sides", func() bool {
				return len(ended) == 1 && f.dispatcher.options.Spooler.Held() == 0
			})
		})
	}
}

// deadlineWriter is a client whose writer calls a function when its deadline is set.
type deadlineWriter struct {
	noSocket
	set func()
}

func (w deadlineWriter) SetWriteDeadline(time.Time) error { w.set(); return nil }

// Guards against a deadline that is set on the writer of a handler that has returned: the
// handler returns as soon as the reading goroutine has ended.
func TestTooSlowAbortsBeforeEnd(t *testing.T) {
	manual := clock.NewManual(0)
	d := &Dispatcher{options: Options{Spooler: spooler.New(0), Clock: clock.Clock{
		Now: func() clock.Millis { return manual.Advance(clock.Second) },
	}}}
	var r *relay
	ended, calls := false, 0
	x := &exchange{dispatcher: d, writer: deadlineWriter{set: func() { ended, calls = r.backlog.ended, calls+1 }}}
	r = &relay{send: &send{exchange: x}, ctx: context.Background(), size: 128 << 10}
	r.backlog.changed.L = &r.backlog.mu
	r.backlog.open(r)
	if r.spool([]byte("data: x\n\n")) || !errors.Is(r.backlog.err, errTooSlow) {
		t.Fatalf("got %v, want %v", r.backlog.err, errTooSlow)
	}
	if calls != 1 || ended {
		t.Errorf("got %d deadlines, reader ended before: %v; want 1, before the end", calls, ended)
	}
	r.backlog.account.Close()
}

// Guards against a watch that runs on, and writes to the exchange, after a panic of the
// write that it watches.
func TestPanicOfPlainWrite(t *testing.T) {
	d := &Dispatcher{options: Options{Spooler: spooler.New(1 << 20), Clock: clock.NewManual(0).Clock()}}
	x := &exchange{
		dispatcher: d, writer: &panickingWriter{left: 1}, clientDeadline: clock.Minute,
		request: httptest.NewRequest(http.MethodGet, "/", nil),
	}
	defer func() {
		cause, held := recover(), d.options.Spooler.Held()
		if cause != http.ErrAbortHandler || held != 0 || x.heldMax != 2*serverBuffer {
			t.Errorf("got panic %v, %d bytes held, at most %d", cause, held, x.heldMax)
		}
	}()
	x.writeBody(make([]byte, 2*serverBuffer))
}

// Guards against complete plain responses that wait for slow callers and are not counted.
func TestSlowCallerOfPlainResponse(t *testing.T) {
	body := strings.Repeat("x", maxBufferedBody-1)
	f := slowFleet(t, 1<<20, route(matcher.Safe, longRoute), io.Discard,
		func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 200, body) })
	_, read := f.call("id-1")
	s := f.dispatcher.options.Spooler
	await(t, 2*time.Second, "response counted", func() bool { return s.Held() == int64(len(body)) })
	if got, err := read(); got != body || err != nil {
		t.Errorf("got %d bytes, %v, want %d", len(got), err, len(body))
	}
	await(t, time.Second, "nothing held", func() bool { return s.Held() == 0 })
}
