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
	"rosemaryarch.example/rosemaryarch/meter"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/router"
)

// Entry is one address at which callers may send requests.
type Entry struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Entries is the answer to GET /v1/entries. Callers may keep it for LifetimeMS.
type Entries struct {
	Entries    []Entry      `json:"entries"`
	LifetimeMS clock.Millis `json:"lifetime_ms"`
}

// Server serves one instance's callers and operators. All function fields must
// be set.
type Server struct {
	Now          func() clock.Millis
	Chat         func(context.Context, router.Request, router.Sink) (router.Answer, error)
	Call         func(context.Context, router.Call) (router.Reply, error)
	Entries      func() Entries
	Ready        func() error
	Workspace    func(key string) (name string, ok bool)
	Operator     func(key string) bool
	Deadline     func(service string) (clock.Millis, bool) // the service's usual deadline
	NewID        func() string
	Admin        administrator.Administrator
	Meter        *meter.Meter
	MaxBodyBytes int64
}

// Handler returns the HTTP handler of the instance.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	options := []kithttp.ServerOption{
		kithttp.ServerErrorEncoder(s.encodeError),
	}
	mux.Handle("POST /v1/chat/completions",
		kithttp.NewServer(s.chatEndpoint(), s.decodeChat, s.encodeChat, options...))
	mux.Handle("/v1/services/{service}/{path...}",
		kithttp.NewServer(s.callEndpoint(), s.decodeCall, encodeReply, options...))
	mux.Handle("GET /v1/entries",
		kithttp.NewServer(s.entriesEndpoint(), kithttp.NopRequestDecoder, kithttp.EncodeJSONResponse, options...))
	mux.Handle("/admin/", administrator.Handler(s.Admin, s.operatorsOnly, s.encodeError))
	mux.Handle("GET /metrics", s.Meter.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.writeError(r.Context(), w, refuser.ErrUnknownPath.WithMessage("%s %s is not served", r.Method, r.URL.Path), true)
	})
	return mux
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if err := s.Ready(); err != nil {
		s.writeError(r.Context(), w, err, false)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) entriesEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) { return s.Entries(), nil }
}

// operatorsOnly refuses calls without an operator's key.
func (s *Server) operatorsOnly(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		header, _ := ctx.Value(kithttp.ContextKeyRequestAuthorization).(string)
		key := bearer(header)
		if key == "" {
			return nil, refuser.ErrMissingKey
		}
		if !s.Operator(key) {
			return nil, refuser.ErrUnknownKey
		}
		return next(ctx, request)
	}
}

// authenticate returns the workspace to which the request's key belongs. It
// comes before anything else is read, so that a caller without a key learns
// nothing about the fleet.
func (s *Server) authenticate(r *http.Request) (string, error) {
	key := bearer(r.Header.Get("Authorization"))
	if key == "" {
		return "", refuser.ErrMissingKey
	}
	name, ok := s.Workspace(key)
	if !ok {
		return "", refuser.ErrUnknownKey
	}
	return name, nil
}

// bearer returns the key in an Authorization header, or "".
func bearer(header string) string {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// encodeError writes a refusal as typed JSON and counts it.
func (s *Server) encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	s.writeError(ctx, w, err, true)
}

func (s *Server) writeError(_ context.Context, w http.ResponseWriter, err error, count bool) {
	r := refuser.From(err)
	if count {
		s.Meter.Refused(r.Reason)
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
		klog.Errorf("server: encode refusal: %v", err)
	}
	_, _ = w.Write(append(body, '\n')) // an error means that the caller is gone
}
