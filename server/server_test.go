package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/meter"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/router"
)

const operatorKey = "operator-key"

// newServer returns a server with a stub router. The router answers every request
// except for the models "lost" and "small@old" and calls without an idempotency
// key.
func newServer() *Server {
	return &Server{
		Now: func() clock.Millis { return 1000 },
		Chat: func(_ context.Context, r router.Request, sink router.Sink) (router.Answer, error) {
			switch r.Model {
			case "lost":
				return router.Answer{}, refuser.ErrUnknownModel
			case "small@old":
				return router.Answer{}, refuser.ErrForbiddenVersion
			}
			return router.Answer{Text: r.Workspace}, sink.Begin(router.AnswerHead{Version: "small@v1"})
		},
		Call: func(_ context.Context, c router.Call) (router.Reply, error) {
			if c.IdempotencyKey == "" {
				return router.Reply{}, refuser.ErrMissingIdempotencyKey
			}
			return router.Reply{Status: http.StatusCreated, Body: []byte(c.Workspace)}, nil
		},
		Entries:    func() Entries { return Entries{} },
		CheckReady: func() error { return refuser.ErrNotReady },
		WorkspaceByKey: func(key string) (string, bool) {
			name, ok := strings.CutPrefix(key, "key-of-")
			return name, ok
		},
		IsOperatorKey:  func(key string) bool { return key == operatorKey },
		ServiceTimeout: func(service string) (clock.Millis, bool) { return 5000, service == "tags" || service == "orders" },
		NewID:          func() string { return "made" },
		Admin: administrator.Administrator{
			SetDataCentre: func(_ context.Context, c administrator.SetOutCall) (administrator.Change, error) {
				return administrator.Change{ID: c.ChangeID}, nil
			},
		},
		Meter: meter.New(), MaxBodyBytes: 256,
	}
}

func request(path, key, body string, header ...string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func serve(s *Server, r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

const (
	chatPath  = "/v1/chat/completions"
	orderPath = "/v1/services/orders/jobs"
	adminPath = "/admin/datacentre"
	callerKey = "key-of-one"
	validChat = `{"model":"tags","messages":[{"role":"user","content":"a"}]}`
	validSet  = `{"name":"oita","out":true,"change_id":"c"}`
)

// TestInvalidInput guards against invalid input that reaches the router or an
// operator's call, and against a refusal without its reason or execution state.
func TestInvalidInput(t *testing.T) {
	large, long := strings.Repeat(" ", 257), strings.Repeat("k", 101)
	chat := func(model string) string { return strings.Replace(validChat, "tags", model, 1) }
	unknownService := strings.Replace(orderPath, "orders", "other", 1)
	tests := map[string]struct {
		request *http.Request
		want    *refuser.Refusal
	}{
		"chat body too large":   {request(chatPath, callerKey, validChat+large), refuser.ErrBodyTooLarge},
		"order body too large":  {request(orderPath, callerKey, large, headerIdempotency, "a"), refuser.ErrBodyTooLarge},
		"invalid JSON":          {request(chatPath, callerKey, `{"model":`), refuser.ErrInvalidBody},
		"two values":            {request(chatPath, callerKey, validChat+"{}"), refuser.ErrInvalidBody},
		"missing model":         {request(chatPath, callerKey, chat("")), refuser.ErrInvalidBody},
		"no messages":           {request(chatPath, callerKey, `{"model":"tags"}`), refuser.ErrInvalidBody},
		"too many tokens":       {request(chatPath, callerKey, `{"max_tokens":32769,`+validChat[1:]), refuser.ErrInvalidBody},
		"unknown service":       {request(chatPath, callerKey, chat("other")), refuser.ErrUnknownService},
		"unknown plain service": {request(unknownService, callerKey, ""), refuser.ErrUnknownService},
		"unknown path":          {request("/v2/chat", callerKey, validChat), refuser.ErrUnknownPath},
		"wrong method":          {request("/v1/entries", callerKey, ""), refuser.ErrUnknownPath},
		"unknown operator path": {request("/admin/other", operatorKey, ""), refuser.ErrUnknownPath},
		"unknown model":         {request(chatPath, callerKey, chat("tags:lost")), refuser.ErrUnknownModel},
		"forbidden version":     {request(chatPath, callerKey, chat("tags:small@old")), refuser.ErrForbiddenVersion},
		"missing key":           {request(chatPath, "", validChat), refuser.ErrMissingKey},
		"unknown key":           {request(chatPath, "other", validChat), refuser.ErrUnknownKey},
		"operator's key":        {request(chatPath, operatorKey, validChat), refuser.ErrUnknownKey},
		"other scheme":          {request(chatPath, "", validChat, "Authorization", "Basic a2V5"), refuser.ErrMissingKey},
		"order without key":     {request(orderPath, "", ""), refuser.ErrMissingKey},
		"no idempotency key":    {request(orderPath, callerKey, ""), refuser.ErrMissingIdempotencyKey},
		"long idempotency key":  {request(orderPath, callerKey, "", headerIdempotency, long), refuser.ErrInvalidBody},
		"long request id":       {request(chatPath, callerKey, validChat, headerRequestID, long), refuser.ErrInvalidBody},
		"long session id":       {request(chatPath, callerKey, validChat, headerSession, long), refuser.ErrInvalidBody},
		"deadline not a number": {request(chatPath, callerKey, validChat, headerDeadline, "soon"), refuser.ErrInvalidBody},
		"deadline of zero":      {request(orderPath, callerKey, "", headerDeadline, "0"), refuser.ErrInvalidBody},
		"deadline overflow": {
			request(chatPath, callerKey, validChat, headerDeadline, "9223372036854775808"), refuser.ErrInvalidBody,
		},
		"operator without key":            {request(adminPath, "", validSet), refuser.ErrMissingKey},
		"operator, workspace key":         {request(adminPath, callerKey, validSet), refuser.ErrUnknownKey},
		"operator, unknown field, no key": {request(adminPath, "", `{"nam":1}`), refuser.ErrMissingKey},
		"operator, unknown field":         {request(adminPath, operatorKey, `{"nam":"oita"}`), refuser.ErrInvalidBody},
		"operator, no body":               {request(adminPath, operatorKey, ""), refuser.ErrInvalidBody},
		"operator, large body": {
			request(adminPath, operatorKey, `{"name":"`+strings.Repeat("a", 1<<20)+`"}`), refuser.ErrBodyTooLarge,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := serve(newServer(), test.request)
			got, ok := refuser.Decode(w.Code, w.Body.Bytes())
			if !ok {
				t.Fatalf("got status %d with body %q, want a refusal", w.Code, w.Body)
			}
			if w.Code != test.want.Status || got.Reason != test.want.Reason || got.Execution != refuser.NotExecuted {
				t.Errorf("got status %d, %+v, want status %d, reason %s and no execution",
					w.Code, got, test.want.Status, test.want.Reason)
			}
		})
	}
}

// TestNoDisclosureWithoutKey guards against answers from which a caller without a
// valid key learns which services, models or operators' calls exist, or which
// fields their bodies have.
func TestNoDisclosureWithoutKey(t *testing.T) {
	for _, key := range []string{"", "other"} {
		want := serve(newServer(), request(chatPath, key, validChat))
		for name, r := range map[string]*http.Request{
			"unknown service":       request(chatPath, key, strings.Replace(validChat, "tags", "other", 1)),
			"invalid body":          request(chatPath, key, "{"),
			"bad deadline":          request(chatPath, key, validChat, headerDeadline, "x"),
			"plain service":         request(orderPath, key, ""),
			"unknown plain service": request("/v1/services/other/jobs", key, ""),
			"large body":            request(orderPath, key, strings.Repeat(" ", 300)),
			"operator's call":       request(adminPath, key, validSet),
			"unknown field":         request(adminPath, key, `{"nam":1}`),
		} {
			got := serve(newServer(), r)
			if got.Code != want.Code || got.Body.String() != want.Body.String() {
				t.Errorf("key %q, %s: got status %d, %s want status %d, %s", key, name, got.Code, got.Body, want.Code, want.Body)
			}
		}
	}
}

// TestValidInput guards against refusals of valid requests, which would also make
// TestInvalidInput pass, and against a caller that can choose its workspace.
func TestValidInput(t *testing.T) {
	tests := map[string]struct {
		request *http.Request
		status  int
		want    string
	}{
		"chat":     {request(chatPath, callerKey, validChat, "X-Workspace", "two"), http.StatusOK, `"content":"one"`},
		"order":    {request(orderPath+"?workspace=two", callerKey, "", headerIdempotency, "a"), http.StatusCreated, "one"},
		"operator": {request(adminPath, operatorKey, validSet), http.StatusOK, `"id":"c"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := serve(newServer(), test.request)
			if got.Code != test.status || !strings.Contains(got.Body.String(), test.want) {
				t.Errorf("got status %d, %s, want status %d with %s", got.Code, got.Body, test.status, test.want)
			}
		})
	}
}
