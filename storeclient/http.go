package storeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/exchanger"
)

// maxAnswerBytes limits an answer. A list of all objects of a large fleet takes a
// few MB.
const maxAnswerBytes = 32 << 20

// watchResponse is the body of the response to a watch.
type watchResponse struct {
	Next    uint64   `json:"next"`
	Objects []Object `json:"objects"`
}

type httpStore struct {
	base   string
	client *http.Client
}

// NewHTTP returns a Store that calls the object API over HTTP at the base URL, such
// as "http://127.0.0.1:7001". The context of each call sets its timeout.
func NewHTTP(base string, client *http.Client) Store {
	h := &httpStore{base: base, client: client}
	return Store{Get: h.get, Version: h.version, Put: h.put, Delete: h.delete, List: h.list, Watch: h.watch}
}

func (h *httpStore) objectURL(key string) string {
	return h.base + "/objects/" + url.PathEscape(key)
}

func (h *httpStore) do(
	ctx context.Context, method, target string, body []byte, expect string,
) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "storeclient: build request")
	}
	if expect != "" {
		req.Header.Set("If-Match", expect)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, nil, markFailedCall(method, err)
	}
	defer resp.Body.Close()
	answer, err := exchanger.ReadBody(resp.Body, maxAnswerBytes)
	if err != nil {
		return 0, nil, markFailedCall(method, err)
	}
	return resp.StatusCode, answer, nil
}

// markFailedCall marks the error of a failed exchange. After a failed exchange, a
// write may have taken effect, so its error is ErrUnknown; a read is ErrUnavailable.
func markFailedCall(method string, err error) error {
	if method == http.MethodGet || method == http.MethodHead {
		return errors.Mark(err, ErrUnavailable)
	}
	return errors.Mark(err, ErrUnknown)
}

// statusError returns the error for a status other than 200.
func statusError(status int, body []byte) error {
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return errors.Mark(fmt.Errorf("storeclient: status %d: %s", status, body), ErrUnknown)
	}
}

func (h *httpStore) get(ctx context.Context, key string) (Object, error) {
	status, body, err := h.do(ctx, http.MethodGet, h.objectURL(key), nil, "")
	if err != nil {
		return Object{}, err
	}
	if status != http.StatusOK {
		return Object{}, statusError(status, body)
	}
	var o Object
	if err := json.Unmarshal(body, &o); err != nil {
		return Object{}, errors.Mark(err, ErrUnavailable)
	}
	return o, nil
}

// version returns the version in the ETag of the response to a HEAD request.
func (h *httpStore) version(ctx context.Context, key string) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, h.objectURL(key), nil)
	if err != nil {
		return 0, errors.Wrap(err, "storeclient: build request")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, markFailedCall(http.MethodHead, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, statusError(resp.StatusCode, nil)
	}
	v, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0, errors.Mark(err, ErrUnavailable)
	}
	return v, nil
}

func (h *httpStore) put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	match := strconv.FormatUint(expect, 10)
	status, body, err := h.do(ctx, http.MethodPut, h.objectURL(key), value, match)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, statusError(status, body)
	}
	var o Object
	if err := json.Unmarshal(body, &o); err != nil {
		return 0, errors.Mark(err, ErrUnknown)
	}
	return o.Version, nil
}

func (h *httpStore) delete(ctx context.Context, key string, expect uint64) error {
	match := strconv.FormatUint(expect, 10)
	status, body, err := h.do(ctx, http.MethodDelete, h.objectURL(key), nil, match)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return statusError(status, body)
	}
	return nil
}

func (h *httpStore) list(ctx context.Context, prefix string) ([]Object, error) {
	target := h.base + "/objects?prefix=" + url.QueryEscape(prefix)
	status, body, err := h.do(ctx, http.MethodGet, target, nil, "")
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, statusError(status, body)
	}
	var objects []Object
	if err := json.Unmarshal(body, &objects); err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	return objects, nil
}

func (h *httpStore) watch(ctx context.Context, prefix string, from uint64) ([]Object, uint64, error) {
	target := fmt.Sprintf("%s/watch?prefix=%s&from=%d", h.base, url.QueryEscape(prefix), from)
	status, body, err := h.do(ctx, http.MethodGet, target, nil, "")
	if err != nil {
		return nil, from, err
	}
	if status != http.StatusOK {
		return nil, from, statusError(status, body)
	}
	var r watchResponse
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, from, errors.Mark(err, ErrUnavailable)
	}
	return r.Objects, r.Next, nil
}
