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

// Errors of the calls. The first three are those of package exchanger; a refusal
// with one of the reasons below matches its own error and ErrRefused.
var (
	ErrNotSent        = exchanger.ErrNotSent
	ErrOutcomeUnknown = exchanger.ErrOutcomeUnknown
	ErrRefused        = exchanger.ErrRefused

	// ErrCold means that the endpoint is warming up and at its limit.
	ErrCold = errors.New("engineclient: endpoint is cold and at its limit")
	// ErrQueueFull means that the endpoint's queue is full.
	ErrQueueFull = errors.New("engineclient: queue of the endpoint is full")
	// ErrNotLoaded means that the endpoint has not loaded the version.
	ErrNotLoaded = errors.New("engineclient: version is not loaded")
	// ErrNotResumable means that the endpoint cannot resume the attempt.
	ErrNotResumable = errors.New("engineclient: attempt cannot be resumed")
	// ErrFenced means that the endpoint has received commands with a higher
	// fencing number, from a newer holder of the lease.
	ErrFenced = errors.New("engineclient: fencing number is superseded")
	// ErrNoWeights means that the endpoint could not load the version's weights.
	ErrNoWeights = errors.New("engineclient: weights are not available")
	// ErrForbidden means that the command key is wrong.
	ErrForbidden = errors.New("engineclient: command key is wrong")
)

// The reasons in an engine's refusals, as on the wire.
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

// prefixBytes is the length of the part of a prompt that identifies its prefix in
// the cache.
const prefixBytes = 256

// Load is an engine's report of its load and state, which may be stale.
type Load struct {
	AsOf          clock.Millis `json:"as_of"`          // instant that the report describes
	Running       int          `json:"running"`        // attempts that are generating
	Queued        int          `json:"queued"`         // attempts that are waiting
	Warm          bool         `json:"warm"`           // false during the warm-up
	RestartID     string       `json:"restart_id"`     // changes with each restart of the process
	Role          string       `json:"role"`           // as set by ActionSetRole
	Versions      []string     `json:"versions"`       // loaded versions
	FencingNumber uint64       `json:"fencing_number"` // highest one received; 0 if the engine ignores them
}

// CacheEvent reports that a prefix was added to or evicted from the engine's
// cache. A gap in the sequence numbers means that events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"` // see PrefixKey
	Evicted  bool   `json:"evicted,omitempty"`
}

// Client is a client of one engine. Its calls are function fields, so that a test
// can replace one.
type Client struct {
	// Generate starts an attempt and returns its events. The caller must range
	// over them once, or cancel ctx, to free the connection. A stream that closes
	// normally ends without an error, even if its end marker is missing. If ctx
	// is cancelled, the error wraps the cause of the cancellation, as in package
	// net/http.
	Generate func(ctx context.Context, r streamer.Request) (iter.Seq2[framer.EngineEvent, error], error)
	// Resume returns the events of an attempt from index fromIndex on; see
	// Generate.
	Resume func(ctx context.Context, requestID, attemptID string, fromIndex int) (
		iter.Seq2[framer.EngineEvent, error], error)
	// Cancel stops an attempt. Cancelling an unknown attempt succeeds.
	Cancel func(ctx context.Context, requestID, attemptID string) error
	// Load returns the engine's load report.
	Load func(ctx context.Context) (Load, error)
	// CacheEvents returns the cache events after the sequence number from.
	CacheEvents func(ctx context.Context, from uint64) ([]CacheEvent, error)
	// Command tells the engine to load or unload a version or to take a role,
	// under a fencing number. subject is the version or the role.
	Command func(ctx context.Context, fencingNumber uint64, action, subject string) error
	// ExportCache returns the cached state of a prefix; ImportCache adds such a
	// state to the cache.
	ExportCache func(ctx context.Context, prefix string) ([]byte, error)
	ImportCache func(ctx context.Context, prefix string, state []byte) error
}

// PrefixKey returns the identifier of a prompt's prefix in the cache: the 64-bit
// xxHash of its first 256 bytes in hexadecimal.
func PrefixKey(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]), 16)
}

type httpClient struct {
	base, commandKey string
	client           *http.Client
	attempts         *http.Client // each request has its own connection
}

// NewHTTP returns a client of the engine at the URL base, such as
// "http://127.0.0.1:7101". commandKey authenticates commands and may be empty.
// Timeouts come from the context of each call, so client must have none.
func NewHTTP(base, commandKey string, client *http.Client) Client {
	h := &httpClient{base: base, commandKey: commandKey, client: client, attempts: withoutReuse(client)}
	return Client{
		Generate: h.generate, Resume: h.resume, Cancel: h.cancel, Load: h.load, CacheEvents: h.cacheEvents,
		Command: h.command, ExportCache: h.exportCache, ImportCache: h.importCache,
	}
}

// withoutReuse returns a client that opens a connection for each request. A refusal
// names no attempt, so that a late second copy of an earlier one on a kept connection
// would count as the refusal of an attempt that the engine executes.
func withoutReuse(client *http.Client) *http.Client {
	transport, ok := client.Transport.(*http.Transport)
	switch {
	case client.Transport == nil:
		transport = http.DefaultTransport.(*http.Transport)
	case !ok:
		return client
	}
	c := *client
	own := transport.Clone()
	own.DisableKeepAlives = true
	c.Transport = own
	return &c
}

func (h *httpClient) generate(ctx context.Context, r streamer.Request) (iter.Seq2[framer.EngineEvent, error], error) {
	return h.stream(ctx, "/v1/generate", r)
}

func (h *httpClient) resume(
	ctx context.Context, requestID, attemptID string, fromIndex int,
) (iter.Seq2[framer.EngineEvent, error], error) {
	return h.stream(ctx, "/v1/resume", attempt{requestID, attemptID, fromIndex})
}

// attempt is the request body of resume and cancel.
type attempt struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	FromIndex int    `json:"from_index"`
}

// stream sends a request and returns the events of the response.
func (h *httpClient) stream(ctx context.Context, path string, body any) (iter.Seq2[framer.EngineEvent, error], error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "engineclient: encode request"), ErrNotSent)
	}
	resp, err := h.send(ctx, h.attempts, http.MethodPost, path, data) //nolint:bodyclose // the returned sequence closes it
	if err != nil {
		return nil, err
	}
	return func(yield func(framer.EngineEvent, error) bool) {
		defer resp.Body.Close()
		r := framer.NewReader(resp.Body, framer.MaxEventBytes)
		for {
			e, err := r.ReadEngineEvent()
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				yield(framer.EngineEvent{}, errors.Mark(err, ErrOutcomeUnknown))
				return
			}
			if !yield(e, nil) {
				return
			}
		}
	}, nil
}

// send sends a request with the given body by a client and returns the response.
func (h *httpClient) send(
	ctx context.Context, client *http.Client, method, path string, body []byte,
) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "engineclient: build request"), ErrNotSent)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := exchanger.Send(client, req)
	return resp, markReason(err)
}

// markReason marks err with the error that corresponds to the reason of a refusal.
func markReason(err error) error {
	var s *exchanger.StatusError
	if err == nil || !errors.As(err, &s) {
		return err
	}
	byReason := map[string]error{
		ReasonCold: ErrCold, ReasonFull: ErrQueueFull, ReasonNotLoaded: ErrNotLoaded,
		ReasonNoAttempt: ErrNotResumable, ReasonFenced: ErrFenced, ReasonForbidden: ErrForbidden,
		ReasonNoWeights: ErrNoWeights,
	}
	if mark, ok := byReason[s.Reason]; ok {
		return errors.Mark(err, mark)
	}
	return err
}

// call makes a JSON call with the command key.
func (h *httpClient) call(ctx context.Context, method, path string, in, out any) error {
	header := http.Header{}
	if h.commandKey != "" {
		header.Set("X-Command-Key", h.commandKey)
	}
	return markReason(exchanger.JSON(ctx, h.client, method, h.base+path, header, in, out))
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

// maxCacheBytes limits the exported cache of one prefix.
const maxCacheBytes = 64 << 20

func (h *httpClient) exportCache(ctx context.Context, prefix string) ([]byte, error) {
	resp, err := h.send(ctx, h.client, http.MethodGet, "/v1/cache/"+prefix, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	state, err := exchanger.ReadBody(resp.Body, maxCacheBytes)
	return state, errors.Mark(err, ErrOutcomeUnknown)
}

func (h *httpClient) importCache(ctx context.Context, prefix string, state []byte) error {
	resp, err := h.send(ctx, h.client, http.MethodPut, "/v1/cache/"+prefix, state)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
