package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/completer"
	"rosemaryarch.example/rosemaryarch/framer"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/router"
)

// Headers of requests and answers.
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
	defaultMaxTokens = 1024
	maxIDBytes       = 100 // longest id or idempotency key, which becomes a part of the key of a stored record
	completionObject = "chat.completion"
)

// chatBody is the body of POST /v1/chat/completions. Model is "service",
// "service:model" or "service:model@version". Partial is the beginning of the
// answer that the caller already has, from an earlier attempt that broke off.
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

// chatReply is a request that is executed only while its answer is encoded, so
// that the text can be streamed as it arrives.
type chatReply struct {
	call *chatCall
	run  func(router.Sink) (router.Answer, error)
}

// chatCompletion is the answer to a request without streaming.
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

// decodeChat decodes a chat completion request into a *chatCall.
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
	if err := validateChat(body); err != nil {
		return nil, err
	}
	service, model, _ := strings.Cut(body.Model, ":")
	call := &chatCall{stream: body.Stream, request: router.Request{
		ID: r.Header.Get(headerRequestID), Workspace: workspace, Service: service, Model: model,
		Session: r.Header.Get(headerSession), Token: r.Header.Get(headerToken),
		Prompt: joinMessages(body.Messages), Partial: body.Partial, MaxTokens: body.MaxTokens, Arrived: s.Now(),
	}}
	if call.request.ID == "" {
		call.request.ID = s.NewID()
	}
	if len(call.request.ID) > maxIDBytes || len(call.request.Session) > maxIDBytes {
		return nil, refuser.ErrInvalidBody.WithMessage("request and session ids must have at most %d bytes", maxIDBytes)
	}
	call.request.Deadline, err = s.deadline(r, service)
	return call, err
}

func validateChat(body chatBody) error {
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

// joinMessages returns the prompt for the engines: one line "role: content" for
// each message.
func joinMessages(messages []chatMessage) string {
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
			call.request.MaxTokens = defaultMaxTokens
		}
		run := func(sink router.Sink) (router.Answer, error) { return s.Chat(ctx, call.request, sink) }
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
		Begin: func(h router.AnswerHead) error { setHeaders(w, h); return nil },
		Text:  func(string) error { return nil },
	})
	if err != nil {
		return err
	}
	// The header is written by now; an error means that the caller has disconnected.
	_ = completer.EncodeJSON(ctx, w, newCompletion(r.call.request, answer))
	return nil
}

func newCompletion(r router.Request, a router.Answer) chatCompletion {
	return chatCompletion{
		ID: r.ID, Object: completionObject, Created: int64(r.Arrived / clock.Second), Model: a.Version,
		Choices: []chatChoice{{Message: chatMessage{Role: "assistant", Content: a.Text}, Finish: a.Finish}},
		Usage:   chatUsage{Prompt: a.TokensIn, Completion: a.TokensOut, Total: a.TokensIn + a.TokensOut},
	}
}

// setHeaders sets the headers that are known when the answer begins.
func setHeaders(w http.ResponseWriter, h router.AnswerHead) {
	w.Header().Set(headerVersion, h.Version)
	if h.Token != "" {
		w.Header().Set(headerToken, h.Token)
	}
}

// encodeStream writes the answer as server-sent events. An error before the first
// event is returned and becomes an ordinary error response; after it, the stream
// ends with an error event and the response stays incomplete.
func (s *Server) encodeStream(w http.ResponseWriter, r chatReply) error {
	var out *framer.Writer
	sink := router.Sink{
		Begin: func(h router.AnswerHead) error {
			setHeaders(w, h)
			out = framer.NewWriter(w, r.call.request.ID, h.Version, r.call.request.Arrived, len(r.call.request.Partial))
			return nil
		},
		Text: func(text string) error { return out.WriteText(text) },
	}
	answer, err := r.run(sink)
	switch {
	case err == nil:
		if out.WriteEnd(answer.Finish) == nil { // an error means that the caller has disconnected
			completer.Complete(w)
		}
		return nil
	case out == nil:
		return err
	default:
		refusal := refuser.From(err)
		s.Meter.CountRefusal(refusal.Reason)
		if e := out.WriteError(refusal); e != nil && !errors.Is(e, framer.ErrEnded) {
			return nil // the caller has disconnected
		}
		return nil
	}
}
