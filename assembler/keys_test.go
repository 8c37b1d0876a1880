package assembler

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/hoster"
	"rosemaryarch.example/rosemaryarch/loader"
	"rosemaryarch.example/rosemaryarch/parser"
)

// issueCertificate creates a certificate authority and a certificate signed by it
// for 127.0.0.1, and returns their files.
func issueCertificate(t *testing.T) loader.TLS {
	t.Helper()
	dir := t.TempDir()
	newKey := func() *ecdsa.PrivateKey {
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	write := func(name, kind string, der []byte, err error) string {
		file := filepath.Join(dir, name)
		if err == nil {
			err = os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		return file
	}
	until := time.Now().Add(time.Hour)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: until,
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "instance"}, NotAfter: until,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	authorityKey, leafKey := newKey(), newKey()
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	authorityFile := write("authority.pem", "CERTIFICATE", authorityDER, err)
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, authority, &leafKey.PublicKey, authorityKey)
	leafFile := write("instance.pem", "CERTIFICATE", leafDER, err)
	keyDER, err := x509.MarshalECPrivateKey(leafKey)
	return loader.TLS{
		Certificate: leafFile, Key: write("instance.key", "EC PRIVATE KEY", keyDER, err), Authority: authorityFile,
	}
}

func (x *testFleet) countAlive(i int) int {
	n := 0
	for _, m := range x.instances[i].gossip.Members() {
		if m.State == gossiper.Alive {
			n++
		}
	}
	return n
}

// TestMutualTLS guards against instances that cannot form a fleet with mutual TLS,
// and against an instance that joins without a certificate of the authority.
func TestMutualTLS(t *testing.T) { checkMutualTLS(t, false) }

// TestMutualTLSSharedStore guards against instances without a valid certificate
// that prevent a fleet from listing its entries because they use the same store.
func TestMutualTLSSharedStore(t *testing.T) { checkMutualTLS(t, true) }

func checkMutualTLS(t *testing.T, sharedStore bool) {
	t.Helper()
	const unreachable = "http://127.0.0.1:1"
	files, other := issueCertificate(t), issueCertificate(t)
	x := newTestFleet(t, 4, func(n int, s *loader.Settings) {
		if n >= 2 && !sharedStore {
			s.Store = unreachable
		}
		switch n {
		case 0, 1:
			s.PeerTLS = files
		case 2:
			s.PeerTLS = other
		}
	})
	x.eventually("the first configuration", func() bool {
		_, err := x.admin(0).Apply(context.Background(), administrator.ApplyCall{Text: x.text, ChangeID: "first"})
		return err == nil
	})
	x.eventually("a fleet of two", func() bool {
		return len(x.instances[0].entries().Entries) == 2 && len(x.instances[1].entries().Entries) == 2
	})
	// The four instances converge independently of each other.
	aliveCounts := func() [4]int { return [4]int{x.countAlive(0), x.countAlive(1), x.countAlive(2), x.countAlive(3)} }
	want := [4]int{2, 2, 1, 1}
	x.eventually("members that each instance considers alive", func() bool { return aliveCounts() == want })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := aliveCounts(); got[0] > 2 || got[1] > 2 || got[2] > 1 || got[3] > 1 {
			t.Fatalf("members that each instance considers alive: got %v, want %v permanently", got, want)
		}
	}
	for _, i := range []int{2, 3} {
		address := x.instances[i].settings.PeerListen
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, err := x.instances[0].messenger.Call(ctx, address, kindEntry, nil); err == nil {
			t.Errorf("call to instance %d: got an answer, want none", i+1)
		}
		if _, err := x.instances[i].messenger.Call(ctx, x.instances[0].settings.PeerListen, kindEntry, nil); err == nil {
			t.Errorf("call by instance %d: got an answer, want none", i+1)
		}
		cancel()
	}
}

// rewriteKeys replaces the keys file and makes all instances reload it.
func (x *testFleet) rewriteKeys(operator string, secrets []string) {
	x.t.Helper()
	text := fmt.Sprintf("operator_sha256:\n  - %s\npeer_secrets:\n", parser.HashKey(operator))
	for _, s := range secrets {
		text += fmt.Sprintf("  - %s\n", s)
	}
	if err := os.WriteFile(x.hoster.KeysFile(), []byte(text), 0o600); err != nil {
		x.t.Fatal(err)
	}
	for _, i := range x.instances {
		i.tickKeys(i.clock.Now())
		if got := i.peerSecrets(); len(got) != len(secrets) || string(got[0]) != secrets[0] {
			x.t.Fatalf("%s: got %d secrets, want %d, the new first one first", i.settings.Instance, len(got), len(secrets))
		}
	}
}

// TestKeyRotation guards against keys that can only be changed by a restart. It
// rotates the peer secret in two steps, replaces the operator key, and checks that
// session tokens signed before a rotation of the session key stay valid.
func TestKeyRotation(t *testing.T) {
	x := newTestFleet(t, 2, nil)
	x.configure()
	const key, next, operator = "demo-key-booking-desk", "another secret of the peers", "another operator"
	session := map[string]string{"X-Session-Id": "s"}
	chat := func(i int) answer {
		return x.post(i, "/v1/chat/completions", key, chatBody("answers", "hello", false), session)
	}
	first := chat(0)
	token, version := first.header.Get("X-Session-Token"), first.header.Get("X-Model-Version")
	if first.status != http.StatusOK || token == "" {
		t.Fatalf("first request: got %+v, want a token", first)
	}
	for _, secrets := range [][]string{{hoster.PeerSecret, next}, {next, hoster.PeerSecret}, {next}} {
		x.rewriteKeys(operator, secrets)
		for a, b := range map[int]int{0: 1, 1: 0} {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			if _, err := x.instances[a].messenger.Call(ctx, x.instances[b].settings.PeerListen, kindEntry, nil); err != nil {
				t.Errorf("call from %d to %d with %d secrets: %v", a+1, b+1, len(secrets), err)
			}
			cancel()
		}
	}
	if _, err := x.admin(0).Status(context.Background(), administrator.Empty{}); err == nil {
		t.Error("status with the previous operator key: got an answer, want a refusal")
	}
	admin, err := administrator.NewHTTP("http://"+x.instances[0].settings.Listen, operator, http.DefaultClient)
	if err != nil {
		t.Fatal(err)
	}
	change, err := admin.RotateSessionKey(context.Background(), administrator.RotateCall{ChangeID: "rotate"})
	if err != nil {
		t.Fatalf("rotation of the session key: %v", err)
	}
	x.eventually("the new session key at the other instance", func() bool {
		return x.instances[1].config.current().object.Revision >= change.Revision
	})
	session["X-Session-Token"] = token
	second := chat(1)
	renewed := second.header.Get("X-Session-Token")
	if got := second.header.Get("X-Model-Version"); got != version || renewed == "" || renewed == token {
		t.Errorf("request with the old token: got version %q and token %q, want %q and a new token", got, renewed, version)
	}
	if got := x.instances[1].pinnedVersion(context.Background(), "booking-desk", "s", token); got != version {
		t.Errorf("old token: got version %q, want %q", got, version)
	}
}
