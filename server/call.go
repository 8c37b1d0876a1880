package server

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/refuser"
	"rosemaryarch.example/rosemaryarch/router"
)

// readBody reads the body of a request, up to MaxBodyBytes.
func (s *Server) readBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, s.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuser.ErrBodyTooLarge.WithMessage("the body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, refuser.ErrInvalidBody.WithMessage("the body cannot be read: %v", err)
	}
	return data, nil
}

// deadline returns the instant by which the request must be answered. The time is
// that of the service, or a shorter one from the caller's deadline header.
func (s *Server) deadline(r *http.Request, service string) (clock.Millis, error) {
	limit, ok := s.ServiceTimeout(service)
	if !ok {
		return 0, refuser.ErrUnknownService.WithMessage("service %q does not exist", service)
	}
	timeout := limit
	if text := r.Header.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return 0, refuser.ErrInvalidBody.WithMessage("%s must be a number of milliseconds above 0", headerDeadline)
		}
		timeout = min(timeout, clock.Millis(ms))
	}
	return s.Now() + timeout, nil
}

// decodeCall decodes a request to a plain service into a *router.Call.
func (s *Server) decodeCall(_ context.Context, r *http.Request) (any, error) {
	workspace, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	body, err := s.readBody(r)
	if err != nil {
		return nil, err
	}
	key := r.Header.Get(headerIdempotency)
	if len(key) > maxIDBytes {
		return nil, refuser.ErrInvalidBody.WithMessage("%s must have at most %d bytes", headerIdempotency, maxIDBytes)
	}
	call := &router.Call{
		Workspace: workspace, Service: r.PathValue("service"), Method: r.Method, Path: "/" + r.PathValue("path"),
		Query: r.URL.RawQuery, ContentType: r.Header.Get("Content-Type"), IdempotencyKey: key,
		Body: body, Arrived: s.Now(),
	}
	call.Deadline, err = s.deadline(r, call.Service)
	return call, err
}

func (s *Server) callEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return s.Call(ctx, *request.(*router.Call))
	}
}

func encodeReply(_ context.Context, w http.ResponseWriter, reply any) error {
	r := reply.(router.Reply)
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	if r.Repeated {
		w.Header().Set(headerRepeated, "true")
	}
	w.WriteHeader(r.Status)
	writeBody(w, r.Body)
	return nil
}
