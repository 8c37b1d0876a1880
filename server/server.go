package server

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/completer"
	"rosemaryarch.example/rosemaryarch/meter"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/router"
)

// Entry is the address of an instance to which callers may send requests.
type Entry struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Entries is the answer to GET /v1/entries. Callers may cache it for LifetimeMS
// milliseconds.
type Entries struct {
	Entries    []Entry      `json:"entries"`
	LifetimeMS clock.Millis `json:"lifetime_ms"`
}

// Server serves the callers and operators of one instance. All function fields
// must be set.
type Server struct {
	Now            func() clock.Millis
	Chat           func(context.Context, router.Request, router.Sink) (router.Answer, error)
	Call           func(context.Context, router.Call) (router.Reply, error) // calls a plain service
	Entries        func() Entries
	CheckReady     func() error                              // nil if the instance accepts new requests, or the reason
	WorkspaceByKey func(key string) (name string, ok bool)   // the workspace to which a key belongs
	IsOperatorKey  func(key string) bool                     // whether a key is an operator's
	ServiceTimeout func(service string) (clock.Millis, bool) // longest time for a request to a service
	NewID          func() string                             // returns a request id
	Admin          administrator.Administrator
	Meter          *meter.Meter
	MaxBodyBytes   int64
}

// Handler returns the HTTP handler of the instance.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, h http.Handler) { mux.Handle(pattern, completer.Handler(h)) }
	options := []kithttp.ServerOption{
		kithttp.ServerErrorEncoder(s.encodeError),
	}
	handle("POST /v1/chat/completions",
		kithttp.NewServer(s.chatEndpoint(), s.decodeChat, s.encodeChat, options...))
	handle("/v1/services/{service}/{path...}",
		kithttp.NewServer(s.callEndpoint(), s.decodeCall, encodeReply, options...))
	handle("GET /v1/entries",
		kithttp.NewServer(s.entriesEndpoint(), kithttp.NopRequestDecoder, completer.EncodeJSON, options...))
	handle("/admin/", administrator.Handler(s.Admin, s.requireOperator, s.encodeError))
	mux.Handle("GET /metrics", s.Meter.Handler())
	handle("GET /healthz", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeBody(w, []byte("ok\n")) }))
	handle("GET /readyz", http.HandlerFunc(s.serveReady))
	handle("/", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.writeError(r.Context(), w, refuser.ErrUnknownPath.WithMessage("%s %s is not served", r.Method, r.URL.Path), true)
	}))
	return mux
}

// writeBody writes the whole body of a response, which it completes.
func writeBody(w http.ResponseWriter, body []byte) {
	if _, err := w.Write(body); err == nil { // an error means that the caller has disconnected
		completer.Complete(w)
	}
}

// serveReady answers the readiness check. A negative answer is not counted as a
// refusal.
func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if err := s.CheckReady(); err != nil {
		s.writeError(r.Context(), w, err, false)
		return
	}
	writeBody(w, []byte("ready\n"))
}

func (s *Server) entriesEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) { return s.Entries(), nil }
}

// requireOperator is a middleware that refuses calls without an operator's key.
func (s *Server) requireOperator(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		header, _ := ctx.Value(kithttp.ContextKeyRequestAuthorization).(string)
		key := bearerKey(header)
		if key == "" {
			return nil, refuser.ErrMissingKey
		}
		if !s.IsOperatorKey(key) {
			return nil, refuser.ErrUnknownKey
		}
		return next(ctx, request)
	}
}

// authenticate returns the workspace to which the request's key belongs. It is
// called before the request is decoded, so that a caller without a valid key
// cannot tell which services and models exist.
func (s *Server) authenticate(r *http.Request) (string, error) {
	key := bearerKey(r.Header.Get("Authorization"))
	if key == "" {
		return "", refuser.ErrMissingKey
	}
	name, ok := s.WorkspaceByKey(key)
	if !ok {
		return "", refuser.ErrUnknownKey
	}
	return name, nil
}

// bearerKey returns the key in an Authorization header, or "".
func bearerKey(header string) string {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// encodeError writes an error as a JSON refusal and counts it.
func (s *Server) encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	s.writeError(ctx, w, err, true)
}

// writeError writes an error as a JSON refusal. It counts the refusal if count is
// set, and logs internal errors.
func (s *Server) writeError(_ context.Context, w http.ResponseWriter, err error, count bool) {
	r := refuser.From(err)
	if count {
		s.Meter.CountRefusal(r.Reason)
	}
	if r.Reason == refuser.ErrInternal.Reason {
		klog.Errorf("server: internal error: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((r.RetryAfter+clock.Second-1)/clock.Second), 10))
	}
	w.WriteHeader(r.Status)
	body, err := r.Encode()
	if err != nil {
		klog.Errorf("server: cannot encode refusal: %v", err)
	}
	writeBody(w, append(body, '\n'))
}
