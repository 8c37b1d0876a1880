package administrator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"rosemaryarch.example/rosemaryarch/completer"
	"rosemaryarch.example/rosemaryarch/refuser"
)

// Paths of the operators' calls. Each is a POST with a JSON body.
const (
	pathApply            = "/admin/config/apply"
	pathConfig           = "/admin/config/show"
	pathOutcome          = "/admin/config/outcome"
	pathSetDataCentre    = "/admin/datacentre"
	pathSetEndpoint      = "/admin/endpoint"
	pathRotateSessionKey = "/admin/session_key/rotate"
	pathStatus           = "/admin/status"
)

// maxBodyBytes bounds the bodies of calls and of error responses. A configuration
// text must fit into one stored object.
const maxBodyBytes = 1 << 20

// Handler returns an HTTP handler that serves a. Each call passes through the
// middleware wrap, which checks the operator's key. encodeError writes refusals.
func Handler(a Administrator, wrap endpoint.Middleware, encodeError kithttp.ErrorEncoder) http.Handler {
	mux := http.NewServeMux()
	register(mux, pathApply, a.Apply, wrap, encodeError)
	register(mux, pathConfig, a.Config, wrap, encodeError)
	register(mux, pathOutcome, a.Outcome, wrap, encodeError)
	register(mux, pathSetDataCentre, a.SetDataCentre, wrap, encodeError)
	register(mux, pathSetEndpoint, a.SetEndpoint, wrap, encodeError)
	register(mux, pathRotateSessionKey, a.RotateSessionKey, wrap, encodeError)
	register(mux, pathStatus, a.Status, wrap, encodeError)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		encodeError(r.Context(), refuser.ErrUnknownPath.WithMessage("%s %s is not served", r.Method, r.URL.Path), w)
	})
	return mux
}

func register[C, R any](
	mux *http.ServeMux, path string, call func(context.Context, C) (R, error),
	wrap endpoint.Middleware, encodeError kithttp.ErrorEncoder,
) {
	// The body is decoded after the middleware, so that a caller without a key
	// gets no information about the calls.
	run := func(ctx context.Context, request any) (any, error) {
		c, err := decodeCall[C](request.(*http.Request))
		if err != nil {
			return nil, err
		}
		return call(ctx, c)
	}
	passRequest := func(_ context.Context, r *http.Request) (any, error) { return r, nil }
	mux.Handle("POST "+path, kithttp.NewServer(
		wrap(run), passRequest, completer.EncodeJSON,
		kithttp.ServerErrorEncoder(encodeError),
		kithttp.ServerBefore(kithttp.PopulateRequestContext),
	))
}

func decodeCall[C any](r *http.Request) (C, error) {
	var c C
	d := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(&c)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return c, refuser.ErrBodyTooLarge.WithMessage("the body exceeds %d bytes", tooLarge.Limit)
	case err != nil:
		return c, refuser.ErrInvalidBody.WithMessage("the body is not valid JSON: %v", err)
	}
	return c, nil
}

// NewHTTP returns an Administrator that calls the instance at the base URL, such as
// "http://127.0.0.1:8101", with an operator's key.
func NewHTTP(base, key string, client *http.Client) (Administrator, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return Administrator{}, errors.Newf("%q is not a base URL such as http://127.0.0.1:8101", base)
	}
	return Administrator{
		Apply:            newCall[ApplyCall, Change](u, pathApply, key, client),
		Config:           newCall[Empty, Config](u, pathConfig, key, client),
		Outcome:          newCall[OutcomeCall, Change](u, pathOutcome, key, client),
		SetDataCentre:    newCall[SetOutCall, Change](u, pathSetDataCentre, key, client),
		SetEndpoint:      newCall[SetOutCall, Change](u, pathSetEndpoint, key, client),
		RotateSessionKey: newCall[RotateCall, Change](u, pathRotateSessionKey, key, client),
		Status:           newCall[Empty, Status](u, pathStatus, key, client),
	}, nil
}

func newCall[C, R any](base *url.URL, path, key string, client *http.Client) func(context.Context, C) (R, error) {
	decode := func(_ context.Context, r *http.Response) (any, error) {
		var reply R
		if r.StatusCode != http.StatusOK {
			return reply, decodeError(r)
		}
		err := json.NewDecoder(r.Body).Decode(&reply)
		return reply, errors.Wrap(err, "administrator: decode answer")
	}
	call := kithttp.NewClient(
		http.MethodPost, base.JoinPath(path), kithttp.EncodeJSONRequest, decode,
		kithttp.SetClient(client),
		kithttp.ClientBefore(kithttp.SetRequestHeader("Authorization", "Bearer "+key)),
	).Endpoint()
	return func(ctx context.Context, c C) (R, error) {
		reply, err := call(ctx, c)
		if err != nil {
			var none R
			return none, transportError(base, err)
		}
		return reply.(R), nil
	}
}

// ErrUnreachable states that no connection to the instance could be opened, so
// that the call was not sent.
var ErrUnreachable = errors.New("administrator: instance cannot be reached")

// transportError adds the base URL of the instance to an error of the HTTP
// transport. It marks a failure to connect with ErrUnreachable.
func transportError(base *url.URL, err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return errors.Mark(errors.Newf("instance %s cannot be reached: %v", base, opError.Err), ErrUnreachable)
	}
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return errors.Newf("instance %s did not answer: %v", base, urlError.Err)
	}
	return err
}

// decodeError returns the refusal in an error response.
func decodeError(r *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	refusal, ok := refuser.Decode(r.StatusCode, body)
	if err != nil || !ok {
		return errors.Newf("%s answered with status %d and without the error format of an instance",
			r.Request.URL.Host, r.StatusCode)
	}
	return refusal
}
