package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/framer"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/router"
)

// Headers of the callers' interface.
const (
	headerRequestID   = "X-Request-Id"
	headerSession     = "X-Session-Id"
	headerToken       = "X-Session-Token"
	headerVersion     = "X-Model-Version"
	headerDeadline    = "X-Deadline-Ms"
	headerIdempotency = "Idempotency-Key"
	headerRepeated    = "X-Answer-Repeated"
)

const (
	maxTokensLimit   = 32_768
	defaultTokens    = 1024
	maxHeaderBytes   = 100 // of ids and keys, which become parts of stored keys
	completionObject = "chat.completion"
)

// chatBody is the body of POST /v1/chat/completions. Model is the name of a
// service, or "service:model" or "service:model@version". Partial is the text
// that the caller has already received of this answer.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Partial   string        `json:"partial"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatCall struct {
	request router.Request
	stream  bool
}

// chatReply runs the request when the answer is encoded, so that pieces go out
// as they come.
type chatReply struct {
	call *chatCall
	run  func(router.Sink) (router.Answer, error)
}

type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   chatUsage    `json:"usage"`
}

type chatChoice struct {
	Index   int         `json:"index"`
	Message chatMessage `json:"message"`
	Finish  string      `json:"finish_reason"`
}

type chatUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func (s *Server) decodeChat(_ context.Context, r *http.Request) (any, error) {
	workspace, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	data, err := s.readBody(r)
	if err != nil {
		return nil, err
	}
	var body chatBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, refuser.ErrInvalidBody.WithMessage("the body is not valid JSON: %v", err)
	}
	if err := checkChat(body); err != nil {
		return nil, err
	}
	service, model, _ := strings.Cut(body.Model, ":")
	call := &chatCall{stream: body.Stream, request: router.Request{
		ID: r.Header.Get(headerRequestID), Workspace: workspace, Service: service, Model: model,
		Session: r.Header.Get(headerSession), Token: r.Header.Get(headerToken),
		Prompt: prompt(body.Messages), Partial: body.Partial, MaxTokens: body.MaxTokens, Arrived: s.Now(),
	}}
	if call.request.ID == "" {
		call.request.ID = s.NewID()
	}
	if len(call.request.ID) > maxHeaderBytes || len(call.request.Session) > maxHeaderBytes {
		return nil, refuser.ErrInvalidBody.WithMessage("request and session ids have at most %d bytes", maxHeaderBytes)
	}
	call.request.Deadline, err = s.deadline(r, service)
	return call, err
}

func checkChat(body chatBody) error {
	switch {
	case body.Model == "":
		return refuser.ErrInvalidBody.WithMessage("model is missing")
	case len(body.Messages) == 0:
		return refuser.ErrInvalidBody.WithMessage("messages is empty")
	case body.MaxTokens < 0 || body.MaxTokens > maxTokensLimit:
		return refuser.ErrInvalidBody.WithMessage("max_tokens must be between 0 and %d", maxTokensLimit)
	}
	return nil
}

// prompt joins the messages in the form that the engines read.
func prompt(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

func (s *Server) chatEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		call := request.(*chatCall)
		if call.request.MaxTokens == 0 {
			call.request.MaxTokens = defaultTokens
		}
		run := func(k router.Sink) (router.Answer, error) { return s.Chat(ctx, call.request, k) }
		return chatReply{call: call, run: run}, nil
	}
}

func (s *Server) encodeChat(ctx context.Context, w http.ResponseWriter, reply any) error {
	r := reply.(chatReply)
	w.Header().Set(headerRequestID, r.call.request.ID)
	if r.call.stream {
		return s.encodeStream(w, r)
	}
	answer, err := r.run(router.Sink{
		Begin: func(h router.Head) error { setHead(w, h); return nil },
		Text:  func(string) error { return nil },
	})
	if err != nil {
		return err
	}
	// An error here means that the caller is gone, after the header was written.
	_ = kithttp.EncodeJSONResponse(ctx, w, completion(r.call.request, answer))
	return nil
}

func completion(r router.Request, a router.Answer) chatCompletion {
	return chatCompletion{
		ID: r.ID, Object: completionObject, Created: int64(r.Arrived / clock.Second), Model: a.Version,
		Choices: []chatChoice{{Message: chatMessage{Role: "assistant", Content: a.Text}, Finish: a.Finish}},
		Usage:   chatUsage{Prompt: a.TokensIn, Completion: a.TokensOut, Total: a.TokensIn + a.TokensOut},
	}
}

func setHead(w http.ResponseWriter, h router.Head) {
	w.Header().Set(headerVersion, h.Version)
	if h.Token != "" {
		w.Header().Set(headerToken, h.Token)
	}
}

// encodeStream writes the pieces as server-sent events. An error before the
// first piece is an ordinary error answer; after it, the stream ends with an
// error event.
func (s *Server) encodeStream(w http.ResponseWriter, r chatReply) error {
	var out *framer.Writer
	sink := router.Sink{
		Begin: func(h router.Head) error {
			setHead(w, h)
			out = framer.NewWriter(w, r.call.request.ID, h.Version, r.call.request.Arrived, len(r.call.request.Partial))
			return nil
		},
		Text: func(text string) error { return out.Text(text) },
	}
	answer, err := r.run(sink)
	switch {
	case err == nil:
		_ = out.End(answer.Finish) // if this fails, the caller is gone
		return nil
	case out == nil:
		return err
	default:
		refusal := refuser.From(err)
		s.Meter.Refused(refusal.Reason)
		if e := out.Error(refusal); e != nil && !errors.Is(e, framer.ErrEnded) {
			return nil // the caller is gone; there is nobody to tell
		}
		return nil
	}
}
