package serviceclient

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestDo guards against a response to an executed call that is reported as a
// failure, the reverse, and a redirect that sends a call again.
func TestDo(t *testing.T) {
	refused := `{"reason":"busy","run":"no"}`
	cases := map[string]struct {
		status int
		body   string
		want   error
	}{
		"created":            {201, "{}", nil},
		"redirect":           {307, "", ErrOutcomeUnknown},
		"invalid date":       {422, `{"error":"date"}`, nil},
		"conflict":           {409, "plain text", nil},
		"refused with 409":   {409, refused, ErrRefused},
		"refused with 503":   {503, refused, ErrRefused},
		"rate limit":         {429, "{}", ErrOutcomeUnknown},
		"request timeout":    {408, "{}", ErrOutcomeUnknown},
		"server error":       {500, "{}", ErrOutcomeUnknown},
		"error of a gateway": {502, "<html>", ErrOutcomeUnknown},
		"response too large": {200, strings.Repeat("x", 300<<10), ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			deliveries := 0
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				deliveries++
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			}))
			response, err := NewHTTP(srv.URL, srv.Client()).Do(t.Context(), Call{Path: "/bookings", Key: "k"})
			srv.Close()
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			if err == nil && (response.Status != c.status || string(response.Body) != c.body) {
				t.Errorf("got %d %q, want %d %q", response.Status, response.Body, c.status, c.body)
			}
			if deliveries != 1 {
				t.Errorf("deliveries: got %d, want 1", deliveries)
			}
			_, err = NewHTTP(srv.URL, srv.Client()).Do(t.Context(), Call{Path: "/bookings", Key: "k"})
			if !errors.Is(err, ErrNotSent) || errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("closed port: got %v, want ErrNotSent only", err)
			}
		})
	}
}
