package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/exchanger"
	"rosemaryarch.example/rosemaryarch/framer"
	"rosemaryarch.example/rosemaryarch/streamer"
)

// Sentinels of every call. The refusals with a reason of their own also match
// ErrRefused.
var (
	ErrNotSent = exchanger.ErrNotSent
	ErrUnknown = exchanger.ErrUnknown
	ErrRefused = exchanger.ErrRefused

	// ErrCold tells that the endpoint is in cold start and at its limit.
	ErrCold = errors.New("engineclient: endpoint is cold and at its limit")
	// ErrFull tells that the endpoint's queue is full.
	ErrFull = errors.New("engineclient: endpoint is full")
	// ErrNotLoaded tells that the endpoint has not loaded the version.
	ErrNotLoaded = errors.New("engineclient: version is not loaded")
	// ErrNoAttempt tells that the endpoint cannot resume the attempt.
	ErrNoAttempt = errors.New("engineclient: attempt cannot be resumed")
	// ErrFenced tells that a newer commander has given commands.
	ErrFenced = errors.New("engineclient: fencing number is old")
	// ErrNoWeights tells that the endpoint could not get the version's weights.
	ErrNoWeights = errors.New("engineclient: weights are not available")
	// ErrForbidden tells that the command key is wrong.
	ErrForbidden = errors.New("engineclient: command key is wrong")
)

// The reasons of an engine's refusals on the wire.
const (
	ReasonCold      = "cold"
	ReasonFull      = "full"
	ReasonNotLoaded = "not_loaded"
	ReasonNoAttempt = "no_attempt"
	ReasonFenced    = "fenced"
	ReasonNoWeights = "no_weights"
	ReasonForbidden = "forbidden"
)

// The actions of a command.
const (
	ActionLoad    = "load"
	ActionUnload  = "unload"
	ActionSetRole = "set_role"
)

// prefixBytes is the part of a prompt that identifies its cached prefix.
const prefixBytes = 256

// Load is an engine's report of its state, as of an earlier instant.
type Load struct {
	AsOf          clock.Millis `json:"as_of"`
	Running       int          `json:"running"`
	Queued        int          `json:"queued"`
	Warm          bool         `json:"warm"`
	RestartID     string       `json:"restart_id"`
	Role          string       `json:"role"`
	Versions      []string     `json:"versions"`
	FencingNumber uint64       `json:"fencing_number"` // 0 if the engine ignores numbers
}

// CacheEvent tells that a prefix entered or left the engine's cache. A sequence
// number that is left out marks a lost event.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"` // as PrefixKey returns it
	Evicted  bool   `json:"evicted,omitempty"`
}

// Client is one engine's API as function fields, so that a test can replace one
// call.
type Client struct {
	// Generate starts an attempt and returns its pieces. The caller ranges over
	// them once, or cancels ctx, to free the connection. A stream that closes
	// in order ends without an error, whether or not its end marker came. An
	// error after a cancel of ctx wraps the cause of the cancel, as net/http
	// returns it.
	Generate func(ctx context.Context, r streamer.Request) (iter.Seq2[framer.Piece, error], error)
	// Resume streams the rest of an attempt from the piece fromIndex on.
	Resume func(ctx context.Context, requestID, attemptID string, fromIndex int) (
		iter.Seq2[framer.Piece, error], error)
	// Cancel stops an attempt. It succeeds for an unknown attempt.
	Cancel func(ctx context.Context, requestID, attemptID string) error
	// Load returns the engine's report.
	Load func(ctx context.Context) (Load, error)
	// CacheEvents returns the events after the sequence number from.
	CacheEvents func(ctx context.Context, from uint64) ([]CacheEvent, error)
	// Command asks the engine to load or unload a version, or to take a role
	// (given as subject), under a fencing number.
	Command func(ctx context.Context, fencingNumber uint64, action, subject string) error
	// ExportCache returns the cached state of a prefix, and ImportCache adds it.
	ExportCache func(ctx context.Context, prefix string) ([]byte, error)
	ImportCache func(ctx context.Context, prefix string, state []byte) error
}

// PrefixKey returns the identifier of the prompt's cached prefix: the xxhash of
// its first 256 bytes in hexadecimal.
func PrefixKey(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]), 16)
}

type httpClient struct {
	base, commandKey string
	client           *http.Client
}

// NewHTTP returns a client of the engine at base, such as
// "http://127.0.0.1:7101". CommandKey may be empty. Timeouts come from each
// call's context, so client must have none.
func NewHTTP(base, commandKey string, client *http.Client) Client {
	h := &httpClient{base: base, commandKey: commandKey, client: client}
	return Client{
		Generate: h.generate, Resume: h.resume, Cancel: h.cancel, Load: h.load, CacheEvents: h.cacheEvents,
		Command: h.command, ExportCache: h.exportCache, ImportCache: h.importCache,
	}
}

func (h *httpClient) generate(ctx context.Context, r streamer.Request) (iter.Seq2[framer.Piece, error], error) {
	return h.stream(ctx, "/v1/generate", r)
}

func (h *httpClient) resume(
	ctx context.Context, requestID, attemptID string, fromIndex int,
) (iter.Seq2[framer.Piece, error], error) {
	return h.stream(ctx, "/v1/resume", attempt{requestID, attemptID, fromIndex})
}

// attempt is the body of resume and cancel.
type attempt struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	FromIndex int    `json:"from_index"`
}

func (h *httpClient) stream(ctx context.Context, path string, body any) (iter.Seq2[framer.Piece, error], error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "engineclient: encode request"), ErrNotSent)
	}
	resp, err := h.send(ctx, http.MethodPost, path, data) //nolint:bodyclose // the sequence closes it
	if err != nil {
		return nil, err
	}
	return func(yield func(framer.Piece, error) bool) {
		defer resp.Body.Close()
		r := framer.NewReader(resp.Body, framer.MaxEventBytes)
		for {
			p, err := r.Piece()
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				yield(framer.Piece{}, errors.Mark(err, ErrUnknown))
				return
			}
			if !yield(p, nil) {
				return
			}
		}
	}, nil
}

func (h *httpClient) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "engineclient: build request"), ErrNotSent)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := exchanger.Send(h.client, req)
	return resp, typed(err)
}

// typed adds the sentinel that fits a refusal's reason.
func typed(err error) error {
	var s *exchanger.StatusError
	if err == nil || !errors.As(err, &s) {
		return err
	}
	sentinels := map[string]error{
		ReasonCold: ErrCold, ReasonFull: ErrFull, ReasonNotLoaded: ErrNotLoaded,
		ReasonNoAttempt: ErrNoAttempt, ReasonFenced: ErrFenced, ReasonForbidden: ErrForbidden,
		ReasonNoWeights: ErrNoWeights,
	}
	if mark, ok := sentinels[s.Reason]; ok {
		return errors.Mark(err, mark)
	}
	return err
}

func (h *httpClient) call(ctx context.Context, method, path string, in, out any) error {
	header := http.Header{}
	if h.commandKey != "" {
		header.Set("X-Command-Key", h.commandKey)
	}
	return typed(exchanger.JSON(ctx, h.client, method, h.base+path, header, in, out))
}

func (h *httpClient) cancel(ctx context.Context, requestID, attemptID string) error {
	return h.call(ctx, http.MethodPost, "/v1/cancel", attempt{RequestID: requestID, AttemptID: attemptID}, nil)
}

func (h *httpClient) load(ctx context.Context) (Load, error) {
	var l Load
	err := h.call(ctx, http.MethodGet, "/v1/load", nil, &l)
	return l, err
}

func (h *httpClient) cacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := h.call(ctx, http.MethodGet, fmt.Sprintf("/v1/cache_events?from=%d", from), nil, &events)
	return events, err
}

func (h *httpClient) command(ctx context.Context, fencingNumber uint64, action, subject string) error {
	body := struct {
		FencingNumber uint64 `json:"fencing_number"`
		Action        string `json:"action"`
		Version       string `json:"version"`
	}{fencingNumber, action, subject}
	return h.call(ctx, http.MethodPost, "/v1/commands", body, nil)
}

func (h *httpClient) exportCache(ctx context.Context, prefix string) ([]byte, error) {
	resp, err := h.send(ctx, http.MethodGet, "/v1/cache/"+prefix, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	state, err := io.ReadAll(resp.Body)
	return state, errors.Mark(err, ErrUnknown)
}

func (h *httpClient) importCache(ctx context.Context, prefix string, state []byte) error {
	resp, err := h.send(ctx, http.MethodPut, "/v1/cache/"+prefix, state)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
