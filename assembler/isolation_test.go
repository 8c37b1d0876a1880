package assembler

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/signer"
)

// TestWorkspaceIsolation guards against a workspace key with which a caller gets
// the session, the order or the answer of another workspace.
func TestWorkspaceIsolation(t *testing.T) {
	x := newTestFleet(t, 1, nil)
	x.configure()
	const north, south = "demo-key-homeowners-north", "demo-key-homeowners-south"

	header := map[string]string{"Idempotency-Key": "visit-1"}
	first := x.post(0, "/v1/services/bookings/bookings", north, `{"house":1}`, header)
	other := x.post(0, "/v1/services/bookings/bookings", south, `{"house":1}`, header)
	if first.status != http.StatusCreated || other.status != http.StatusCreated || first.body == other.body {
		t.Errorf("got %+v and %+v, want two orders with their own answers", first, other)
	}
	for _, order := range []string{"homeowners-north.visit-1", "homeowners-south.visit-1"} {
		if got := x.hoster.Platform.RunCount("bookings", order); got != 1 {
			t.Errorf("runs of %s: got %d, want 1", order, got)
		}
	}
	reused := x.post(0, "/v1/services/bookings/bookings", south, `{"house":2}`, header)
	if reused.status != http.StatusUnprocessableEntity {
		t.Errorf("another body with the same key and workspace: got status %d, want 422", reused.status)
	}

	i := x.instances[0]
	token, err := i.config.current().signer.Sign(signer.Token{
		Workspace: "homeowners-north", Session: "s", Model: "small", Version: "small@v1", IssuedAt: clock.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	for workspace, want := range map[string]string{"homeowners-north": "small@v1", "homeowners-south": ""} {
		if got := i.pinnedVersion(context.Background(), workspace, "s", token); got != want {
			t.Errorf("token in %s: got version %q, want %q", workspace, got, want)
		}
	}
	// Without a valid token the session has no version, so that a partial answer
	// cannot be continued.
	partial := strings.Replace(chatBody("answers", "hello", false), "{", `{"partial":"so far",`, 1)
	session := map[string]string{"X-Session-Id": "s", "X-Session-Token": token}
	if a := x.post(0, "/v1/chat/completions", south, partial, session); a.status != http.StatusBadRequest {
		t.Errorf("continuation with a token of another workspace: got status %d, %s, want 400", a.status, a.body)
	}
}
