package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	nonceBytes         = 32
	maxHandshakeBytes  = 1024
	roleDialler        = "dialler"
	roleAcceptor       = "acceptor"
	handshakeContext   = "rosemaryarch peer link 1"
	maxIdentifierBytes = 256
)

var errHandshake = errors.New("messenger: the peer did not prove the shared secret")

// hello is the first message of each side of a handshake.
type hello struct {
	ID          string `cbor:"id"`
	Incarnation uint64 `cbor:"incarnation"`
	Address     string `cbor:"address"`
	Nonce       []byte `cbor:"nonce"`
}

// proof is the second message of each side; see proofMAC.
type proof struct {
	MAC []byte `cbor:"mac"`
}

func (m *Messenger) newHello() hello {
	h := hello{
		ID: m.options.ID, Incarnation: m.options.Incarnation, Address: m.options.Address,
		Nonce: make([]byte, nonceBytes),
	}
	_, _ = rand.Read(h.Nonce) // never fails
	return h
}

// handshakeAsDialler performs the dialler's side of the handshake and returns the
// acceptor's hello.
func (m *Messenger) handshakeAsDialler(ctx context.Context, c *websocket.Conn) (hello, error) {
	c.SetReadLimit(maxHandshakeBytes)
	own := m.newHello()
	if err := writeMessage(ctx, c, own); err != nil {
		return hello{}, err
	}
	var peer hello
	if err := readHello(ctx, c, &peer); err != nil {
		return hello{}, err
	}
	secrets := m.usableSecrets()
	if len(secrets) == 0 {
		return hello{}, errHandshake
	}
	if err := writeMessage(ctx, c, proof{proofMAC(secrets[0], roleDialler, own, peer)}); err != nil {
		return hello{}, err
	}
	return peer, readProof(ctx, c, secrets, roleAcceptor, own, peer)
}

// handshakeAsAcceptor performs the acceptor's side of the handshake and returns
// the dialler's hello. It proves the secret only to a dialler that has proved it.
func (m *Messenger) handshakeAsAcceptor(ctx context.Context, c *websocket.Conn) (hello, error) {
	c.SetReadLimit(maxHandshakeBytes)
	var peer hello
	if err := readHello(ctx, c, &peer); err != nil {
		return hello{}, err
	}
	own := m.newHello()
	if err := writeMessage(ctx, c, own); err != nil {
		return hello{}, err
	}
	secrets := m.usableSecrets()
	if err := readProof(ctx, c, secrets, roleDialler, peer, own); err != nil {
		return hello{}, err
	}
	return peer, writeMessage(ctx, c, proof{proofMAC(secrets[0], roleAcceptor, peer, own)})
}

// usableSecrets returns the accepted secrets that are not empty.
func (m *Messenger) usableSecrets() [][]byte {
	var usable [][]byte
	if m.options.Secrets == nil {
		return nil
	}
	for _, s := range m.options.Secrets() {
		if len(s) > 0 {
			usable = append(usable, s)
		}
	}
	return usable
}

// proofMAC returns the HMAC-SHA256 of the role, so that a proof cannot be
// reflected, and of both hellos. Each field is prefixed by its length.
func proofMAC(secret []byte, role string, dialler, acceptor hello) []byte {
	m := hmac.New(sha256.New, secret)
	field := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		m.Write(n[:])
		m.Write(b)
	}
	field([]byte(handshakeContext))
	field([]byte(role))
	for _, h := range []hello{dialler, acceptor} {
		field([]byte(h.ID))
		field(binary.BigEndian.AppendUint64(nil, h.Incarnation))
		field([]byte(h.Address))
		field(h.Nonce)
	}
	return m.Sum(nil)
}

func writeMessage(ctx context.Context, c *websocket.Conn, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "messenger: encode handshake")
	}
	return c.Write(ctx, websocket.MessageBinary, b)
}

func readHello(ctx context.Context, c *websocket.Conn, h *hello) error {
	_, b, err := c.Read(ctx)
	if err != nil {
		return err
	}
	if err := decoder.Unmarshal(b, h); err != nil {
		return errors.Mark(err, errHandshake)
	}
	tooLong := len(h.ID) > maxIdentifierBytes || len(h.Address) > maxIdentifierBytes
	if h.ID == "" || h.Address == "" || tooLong || len(h.Nonce) != nonceBytes {
		return errHandshake
	}
	return nil
}

// readProof reads a proof and checks it against each of the secrets.
func readProof(ctx context.Context, c *websocket.Conn, secrets [][]byte, role string, dialler, acceptor hello) error {
	_, b, err := c.Read(ctx)
	if err != nil {
		return err
	}
	var p proof
	if err := decoder.Unmarshal(b, &p); err != nil {
		return errors.Mark(err, errHandshake)
	}
	for _, s := range secrets {
		if hmac.Equal(p.MAC, proofMAC(s, role, dialler, acceptor)) {
			return nil
		}
	}
	return errHandshake
}
