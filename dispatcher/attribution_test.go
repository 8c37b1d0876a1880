package dispatcher

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"rosemaryarch.example/rosemaryarch/matcher"
)

// untilClose sends a stream that only the end of its connection delimits, with the
// events 1 to last and then the given bytes.
func untilClose(last int, text string) handler {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "ID", r.Header.Get("X-Id")))
		for i := 1; i <= last; i++ {
			_, _ = fmt.Fprintf(c, "id: %d\ndata: p%d\n\n", i, i)
		}
		_, _ = io.WriteString(c, text)
		return false
	}
}

// eventsAfter sends the events up to 4 that follow the one that the request names.
func eventsAfter(c net.Conn, r *http.Request, _ string) bool {
	from := 0
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &from); err != nil {
		from = 0
	}
	return writeEvents(c, r, from+1, 4, true)
}

// Guards against an empty success: a connection that closes before the first event of
// a stream whose end only the close can tell may be that of a failing endpoint.
func TestStreamEndsBeforeFirstEvent(t *testing.T) {
	declared := func(framing string) handler {
		return func(c net.Conn, r *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Signature: s\r\n"+framing)
			return true
		}
	}
	cut := func(c net.Conn, r *http.Request, _ string) bool { return writeEvents(c, r, 1, 4, false) }
	tests := map[string]struct {
		first, second handler
		resume        bool
		status        int
		body          string
		complete      bool
	}{
		"not resumable":    {untilClose(0, ""), eventsAfter, false, 502, "", true},
		"comment only":     {untilClose(0, ": hello\n\n"), eventsAfter, false, 502, "", true},
		"resumable":        {untilClose(0, ""), eventsAfter, true, 200, completeStream, true},
		"after the resume": {cut, untilClose(0, ""), true, 200, completeStream, false},
		"declared length":  {declared("Content-Length: 0\r\n\r\n"), eventsAfter, true, 200, "", true},
		"chunks":           {declared("Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), eventsAfter, true, 200, "", true},
		"resumed, all events": {
			cut, declared("Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"), true, 200, completeStream, true,
		},
		"resumed, no stream": {cut, declared("Content-Length: 0\r\n\r\n"), true, 200, completeStream, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Stream, func(r *matcher.Route) {
				r.Resumable, r.Attempts = tt.resume, 2
			}), firstThen(tt.first, tt.second)...)
			got := f.do("POST", "/a/x", "prompt")
			if got.status != tt.status || (got.err == nil) != tt.complete {
				t.Errorf("got %d %v, want %d, complete: %v", got.status, got.err, tt.status, tt.complete)
			}
			if tt.status == 200 && got.body != tt.body {
				t.Errorf("body: got %q, want %q", got.body, tt.body)
			}
		})
	}
}

// Guards against a second response in a stream that only the end of its connection
// delimits: its header and body reached the client as events.
func TestSecondResponseInStream(t *testing.T) {
	const quoted = "id: 1\ndata: HTTP/1.1 200 OK\n\n"
	second := "HTTP/1.1 200 OK\r\nX-Id: id-0\r\nX-Signature: s\r\n\r\nid: 9\ndata: other\n\n"
	tests := map[string]struct {
		first  handler
		resume bool
		body   string // if complete
	}{
		"after two events":          {untilClose(2, second), false, ""},
		"before the first event":    {untilClose(0, second), false, ""},
		"after part of an event":    {untilClose(2, "id: 3\ndata: par\n"+second), false, ""},
		"resumable":                 {untilClose(2, second), true, completeStream},
		"resumable, no event":       {untilClose(0, second), true, completeStream},
		"resumable, HTTP/1.0":       {untilClose(2, strings.Replace(second, "1.1", "1.0", 1)), true, completeStream},
		"data that quotes a status": {untilClose(0, quoted), false, quoted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Stream, func(r *matcher.Route) { r.Resumable = tt.resume }),
				firstThen(tt.first, eventsAfter)...)
			got := f.do("POST", "/a/x", "prompt")
			if strings.Contains(got.body, "data: other") || strings.Contains(got.body, "id-0") {
				t.Errorf("the client got bytes of another response: %q", got.body)
			}
			if complete := got.status == 200 && got.err == nil; complete != (tt.body != "") {
				t.Errorf("got %d %v, want a complete success: %v", got.status, got.err, tt.body != "")
			}
			if tt.body != "" && got.body != tt.body {
				t.Errorf("body: got %q, want %q", got.body, tt.body)
			}
		})
	}
}

// Guards against an endpoint that ignores the position from which a stream resumes and
// starts again: the client got events twice, or parts of two runs as one stream.
func TestResumePositionIgnored(t *testing.T) {
	cut := func(c net.Conn, r *http.Request, _ string) bool { return writeEvents(c, r, 1, 2, false) }
	again := func(c net.Conn, r *http.Request, _ string) bool { return writeEvents(c, r, 1, 4, true) }
	once := func(c net.Conn, r *http.Request, body string) bool {
		if r.Header.Get("Last-Event-Id") == "" {
			return cut(c, r, body)
		}
		return again(c, r, body)
	}
	repeats := func(c net.Conn, r *http.Request, _ string) bool {
		return untilClose(2, "id: 2\ndata: p2\n\nid: 3\ndata: p3\n\n")(c, r, "")
	}
	begin := "id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n"
	tests := map[string]struct {
		handlers []handler
		after    string // Last-Event-Id of the client
		body     string
		complete bool
	}{
		"every endpoint starts again": {[]handler{once, once, once}, "", begin, false},
		"one endpoint starts again":   {inTurn(cut, again, eventsAfter), "", completeStream, true},
		"event repeated in one run":   {inTurn(repeats, eventsAfter), "", completeStream, true},
		"client resumes":              {inTurn(again, eventsAfter), "2", strings.TrimPrefix(completeStream, begin), true},
		"client resumes after all":    {inTurn(eventsAfter), "4", "", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(matcher.Stream, resumable), tt.handlers...)
			var headers []string
			if tt.after != "" {
				headers = []string{names.LastEvent, tt.after}
			}
			got := f.do("POST", "/a/x", "prompt", headers...)
			if got.body != tt.body || (got.err == nil) != tt.complete {
				t.Errorf("got %d %q %v, want %q, complete: %v", got.status, got.body, got.err, tt.body, tt.complete)
			}
		})
	}
}

// inTurn returns three handlers of which the given ones serve the requests of the
// test in turn, and the last one all further requests, whichever endpoint they reach.
func inTurn(list ...handler) []handler {
	turns := make(chan handler, len(list))
	for _, h := range list {
		turns <- h
	}
	handle := func(c net.Conn, r *http.Request, body string) bool {
		select {
		case h := <-turns:
			return h(c, r, body)
		default:
			return list[len(list)-1](c, r, body)
		}
	}
	return []handler{handle, handle, handle}
}

// Guards against a second response that begins inside a line of a body that only the
// end of its connection delimits: its header and body reached the client as a part of
// the success, also behind a body that is passed on as it arrives (MIXED, review/7).
func TestSecondResponseInsideALine(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nX-Id: id-0\r\nX-Signature: s\r\n\r\nid: 9\ndata: other\n\n"
	plain := func(body string) handler {
		return func(c net.Conn, r *http.Request, _ string) bool {
			_, _ = io.WriteString(c, strings.ReplaceAll(plainHead, "ID", r.Header.Get("X-Id"))+body)
			return false
		}
	}
	chunked := "{\"log\": \"" + second + "\"}"
	long := strings.Repeat("p", 2*maxBufferedBody)
	const quoted = "HTTP/1.1 200 OK\r\n\r\n"
	tests := map[string]struct {
		kind  matcher.Kind
		first handler
		body  string // if complete
	}{
		"stream, in the first event": {matcher.Stream, untilClose(0, "id: 1\ndata: par"+second), ""},
		"stream, in the next event":  {matcher.Stream, untilClose(2, "id: 3\ndata: par"+second), ""},
		"plain":                      {matcher.Unsafe, plain("fine" + second), ""},
		"plain, retryable":           {matcher.Safe, plain("fine" + second), "fine"},
		"long":                       {matcher.Unsafe, plain(long + second), ""},
		"long, retryable":            {matcher.Safe, plain(long + second), ""},
		"long, second at its begin":  {matcher.Unsafe, plain("fine" + second + long), ""},
		"long that quotes a status":  {matcher.Unsafe, plain(long + quoted), long + quoted},
		"plain that quotes a status": {matcher.Unsafe, plain("HTTP/1.1 200 OK\r\n\r\n"), "HTTP/1.1 200 OK\r\n\r\n"},
		"declared length": {matcher.Unsafe, func(c net.Conn, r *http.Request, _ string) bool {
			return writeResponse(c, r, 200, chunked)
		}, chunked},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, route(tt.kind, nil), firstThen(tt.first, succeed)...)
			got := f.do("POST", "/a/x", "body")
			if tt.body == "" && strings.Contains(got.body, "id-0") {
				t.Errorf("the client got bytes of another response: %q", got.body)
			}
			if complete := got.status == 200 && got.err == nil; complete != (tt.body != "") {
				t.Errorf("got %d %v, want a complete success: %v", got.status, got.err, tt.body != "")
			}
			if tt.body != "" && got.body != tt.body {
				t.Errorf("body: got %q, want %q", got.body, tt.body)
			}
		})
	}
}
