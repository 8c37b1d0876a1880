package signer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

var example = Token{Workspace: "seal", Session: "s-1", Model: "assess", Version: "3", IssuedAt: 1_790_000_000_000}

func withKey(t testing.TB, s Signer, id string) Signer {
	t.Helper()
	n, err := s.WithKey(id, bytes.Repeat([]byte(id[:1]), MinSecretBytes))
	if err != nil {
		t.Fatalf("key %q: %v", id, err)
	}
	return n
}

func sign(t testing.TB, s Signer, token Token) string {
	t.Helper()
	text, err := s.Sign(token)
	if err != nil {
		t.Fatalf("sign: %v", err)
	}
	return text
}

// TestVerify guards against a token that is accepted in another workspace, after
// its key was removed, or after any part of it was changed; and against a key
// rotation that invalidates older tokens while their key is still held.
func TestVerify(t *testing.T) {
	old := withKey(t, Signer{}, "a1")
	both := withKey(t, old, "b2")
	token := sign(t, old, example)
	parts := strings.Split(token, ".")
	forged, err := Signer{}.WithKey("a1", bytes.Repeat([]byte("x"), MinSecretBytes))
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		signer    Signer
		text      string
		workspace string
		want      error
	}{
		"own workspace":        {old, token, "seal", nil},
		"older key":            {both, token, "seal", nil},
		"newest key":           {both, sign(t, both, example), "seal", nil},
		"signed by newest":     {old, sign(t, both, example), "seal", ErrUnknownKey},
		"removed key":          {both.WithoutKey("a1"), token, "seal", ErrUnknownKey},
		"other workspace":      {old, token, "works", ErrWrongWorkspace},
		"no workspace":         {old, token, "", ErrWrongWorkspace},
		"same id, other":       {old, sign(t, forged, example), "seal", ErrBadSignature},
		"other key's id":       {both, strings.Replace(token, ".a1.", ".b2.", 1), "seal", ErrBadSignature},
		"swapped payload":      {old, strings.Join([]string{"r1", "a1", "oA", parts[3]}, "."), "seal", ErrBadSignature},
		"no MAC":               {old, strings.Join(parts[:3], ".") + ".", "seal", ErrBadSignature},
		"short MAC":            {old, strings.Join(parts[:3], ".") + "." + parts[3][:40], "seal", ErrBadSignature},
		"three parts":          {old, strings.Join(parts[:3], "."), "seal", ErrMalformed},
		"other format version": {old, "r2" + token[2:], "seal", ErrMalformed},
		"padding":              {old, token + "=", "seal", ErrMalformed},
		"line break":           {old, token + "\n", "seal", ErrMalformed},
		"empty":                {old, "", "seal", ErrMalformed},
		"too long":             {old, token + strings.Repeat("A", MaxTokenBytes), "seal", ErrMalformed},
		"signer has no key":    {Signer{}, token, "seal", ErrUnknownKey},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := c.signer.Verify(c.text, c.workspace)
			if !errors.Is(err, c.want) || c.want == nil && err != nil {
				t.Fatalf("got error %v, want %v", err, c.want)
			}
			if err == nil && got != example {
				t.Errorf("got %+v, want %+v", got, example)
			}
		})
	}
}

// TestKeys guards against weak or ambiguous keys, and against changes of a signer
// through the caller's slice or through WithKey.
func TestKeys(t *testing.T) {
	s := withKey(t, Signer{}, "a1")
	secret := bytes.Repeat([]byte("z"), MinSecretBytes)
	for name, id := range map[string]string{"empty": "", "dot": "a.b", "taken": "a1", "long": strings.Repeat("k", 65)} {
		if _, err := s.WithKey(id, secret); !errors.Is(err, ErrBadKey) {
			t.Errorf("%s id: got %v, want ErrBadKey", name, err)
		}
	}
	if _, err := s.WithKey("c3", secret[1:]); !errors.Is(err, ErrBadKey) {
		t.Errorf("short secret: got %v, want ErrBadKey", err)
	}
	n, err := s.WithKey("c3", secret)
	if err != nil {
		t.Fatal(err)
	}
	secret[0]++
	if _, err := n.Verify(sign(t, n, example), "seal"); err != nil {
		t.Errorf("after the caller changed its secret: %v", err)
	}
	if got := sign(t, withKey(t, n, "a1"), example); got != sign(t, s, example) {
		t.Errorf("signed after a key was added again: got %q, want its signature", got)
	}
	if _, err := (Signer{}).Sign(example); !errors.Is(err, ErrNoKey) {
		t.Errorf("no key: got %v, want ErrNoKey", err)
	}
	long := example
	long.Session = strings.Repeat("s", MaxTokenBytes)
	if _, err := s.Sign(long); !errors.Is(err, ErrTooLong) {
		t.Errorf("long session: got %v, want ErrTooLong", err)
	}
}

// FuzzVerify guards against a panic on malformed input, and against a second
// string that verifies as the same token.
func FuzzVerify(f *testing.F) {
	s := withKey(f, withKey(f, Signer{}, "a1"), "b2")
	f.Add(sign(f, s, example), "seal")
	f.Fuzz(func(t *testing.T, text, workspace string) {
		got, err := s.Verify(text, workspace)
		if err != nil {
			return
		}
		if got.Workspace != workspace {
			t.Fatalf("token of %q verified for %q", got.Workspace, workspace)
		}
		older := s.WithoutKey("b2")
		if text != sign(t, s, got) && text != sign(t, older, got) {
			t.Fatalf("%q verifies but is not a token that was issued", text)
		}
	})
}
