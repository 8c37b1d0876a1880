package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/decoder"
)

const settings = `instance: e1
data_centre: oita
region: kyushu
listen: 127.0.0.1:8101
peer_listen: 127.0.0.1:8201
store: http://127.0.0.1:9001
instance_list: http://127.0.0.1:9002
rating: http://127.0.0.1:9003
weight_store: http://127.0.0.1:9004
keys_file: keys.yaml
limits: {max_in_flight: 10}
`

// TestParseErrors guards against invalid settings that are accepted, and against
// errors that do not name the line and field.
func TestParseErrors(t *testing.T) {
	if _, err := Parse("s", []byte(settings)); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct{ old, new, want string }{
		"unknown field":  {"region: ", "regoin: ", "s:3: regoin: unknown field"},
		"no data centre": {"data_centre: oita\n", "", "s:1: data_centre: is missing"},
		"duplicate field": {
			"region: kyushu", "instance: e2",
			`s:3: mapping key "instance" already defined at line 1`,
		},
		"host name instead of IP": {
			"listen: 127.0.0.1", "listen: host",
			`s:4: listen: "host:8101" is not an IP address with a port`,
		},
		"no port":         {"0.1:8201", "0.1", `s:5: peer_listen: "127.0.0.1" is not an IP address with a port`},
		"same port twice": {"8201", "8101", "s:5: peer_listen: must differ from listen"},
		"no scheme":       {"http://127.0.0.1:9001", "127.0.0.1:9001", `s:6: store: "127.0.0.1:9001": not a URL`},
		"URL with host name": {
			"http://127.0.0.1:9003", "http://a:1",
			`s:8: rating: "http://a:1": the host must be an IP address with a port`,
		},
		"limit below zero":   {"10}", "-1}", "s:11: limits.max_in_flight: must be between 1 and 100000"},
		"limit not a number": {"10}", "many}", "s:11: max_in_flight: !!str cannot be read as int"},
		"huge body": {
			"max_in_flight: 10", "max_body_bytes: 99999999",
			"s:11: limits.max_body_bytes: must be between 1024 and 67108864",
		},
		"drain shorter than entry lifetime": {
			"max_in_flight: 10", "drain_ms: 1",
			"s:11: limits.drain_ms: must be at least entry_lifetime_ms (1500)",
		},
		"incomplete TLS": {
			"limits: ", "peer_tls: {key: k}\nlimits: ",
			"s:11: peer_tls: needs certificate, key and authority together",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("s", []byte(strings.Replace(settings, test.old, test.new, 1)))
			if !errors.Is(err, decoder.ErrInvalid) || err.Error() != test.want {
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}

// TestNoSecretInErrors guards against a secret in the error about a malformed keys
// file, which may be logged. Package yaml quotes invalid values in its errors.
func TestNoSecretInErrors(t *testing.T) {
	const secret = "s3cr3t"
	tests := map[string]struct {
		text string
		line string
	}{
		"not a list":      {"peer_secrets: " + secret, "k:1:"},
		"unknown field":   {"peer_secrets: [0123456789abcdef]\n" + secret + ": 1", "k:2:"},
		"scalar document": {secret, "k:1:"},
		"alias":           {"peer_secrets: [*" + secret + "]", "k:1:"},
		"tag":             {"peer_secrets: [!!int " + secret + "]", "k:1:"},
		"mapping":         {"endpoint_key: {" + secret + ": x}", "k:1:"},
		"duplicate field": {secret + ": 1\n" + secret + ": 1", "k:2:"},
		"syntax":          {"endpoint_key: x\npeer_secrets: [" + secret, "k:2:"},
		"too short":       {"peer_secrets:\n  - " + secret, "k:2: peer_secrets[0]:"},
		"not a hash": {
			"peer_secrets: [0123456789abcdef]\noperator_sha256: [" + secret + "]",
			"k:2: operator_sha256[0]:",
		},
		"no secrets":    {"endpoint_key: " + secret, "k:1: peer_secrets:"},
		"two documents": {"endpoint_key: " + secret + "\n---\na: " + secret, "k:2:"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseKeys("k", []byte(test.text))
			if err == nil {
				t.Fatal("got no error")
			}
			got := err.Error()
			if strings.Contains(got, secret[:3]) || strings.Contains(got, "\n") || !strings.HasPrefix(got, test.line) {
				t.Errorf("got %q, want one line from %q on without the secret", got, test.line)
			}
		})
	}
}

// TestReloadKeepsKeys guards against an instance that loses its keys when an
// operator saves an invalid keys file.
func TestReloadKeepsKeys(t *testing.T) {
	file := filepath.Join(t.TempDir(), "keys.yaml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("peer_secrets: [0123456789abcdef]\n")
	r, err := OpenKeys(file)
	if err != nil {
		t.Fatal(err)
	}
	write("peer_secrets: [short]\n")
	if err := r.Reload(); err == nil {
		t.Error("got no error for a short secret")
	}
	if got, want := r.Keys().PeerSecrets[0], "0123456789abcdef"; got != want {
		t.Errorf("got secret %q, want the former %q", got, want)
	}
}
