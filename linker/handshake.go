package linker

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
	handshakeSubject   = "rosemaryarch peer link 1"
	maxIdentifierBytes = 256
)

var errHandshake = errors.New("linker: the peer did not prove the shared secret")

// hello is the first message of each side.
type hello struct {
	ID          string `cbor:"id"`
	Incarnation uint64 `cbor:"incarnation"`
	Address     string `cbor:"address"`
	Nonce       []byte `cbor:"nonce"`
}

type proof struct {
	MAC []byte `cbor:"mac"`
}

func (l *Linker) hello() hello {
	h := hello{ID: l.opts.ID, Incarnation: l.opts.Incarnation, Address: l.opts.Address, Nonce: make([]byte, nonceBytes)}
	_, _ = rand.Read(h.Nonce) // never fails
	return h
}

// greet is the dialler's side of the handshake. It returns the acceptor's hello.
func (l *Linker) greet(ctx context.Context, c *websocket.Conn) (hello, error) {
	c.SetReadLimit(maxHandshakeBytes)
	own := l.hello()
	if err := write(ctx, c, own); err != nil {
		return hello{}, err
	}
	var peer hello
	if err := readHello(ctx, c, &peer); err != nil {
		return hello{}, err
	}
	secrets := l.secrets()
	if len(secrets) == 0 {
		return hello{}, errHandshake
	}
	if err := write(ctx, c, proof{mac(secrets[0], roleDialler, own, peer)}); err != nil {
		return hello{}, err
	}
	return peer, readProof(ctx, c, secrets, roleAcceptor, own, peer)
}

// welcome is the acceptor's side. It proves the secret only to a dialler that
// has proved it.
func (l *Linker) welcome(ctx context.Context, c *websocket.Conn) (hello, error) {
	c.SetReadLimit(maxHandshakeBytes)
	var peer hello
	if err := readHello(ctx, c, &peer); err != nil {
		return hello{}, err
	}
	own := l.hello()
	if err := write(ctx, c, own); err != nil {
		return hello{}, err
	}
	secrets := l.secrets()
	if err := readProof(ctx, c, secrets, roleDialler, peer, own); err != nil {
		return hello{}, err
	}
	return peer, write(ctx, c, proof{mac(secrets[0], roleAcceptor, peer, own)})
}

func (l *Linker) secrets() [][]byte {
	var usable [][]byte
	if l.opts.Secrets == nil {
		return nil
	}
	for _, s := range l.opts.Secrets() {
		if len(s) > 0 {
			usable = append(usable, s)
		}
	}
	return usable
}

// mac covers the role, so that a proof cannot be reflected, and both hellos.
func mac(secret []byte, role string, dialler, acceptor hello) []byte {
	m := hmac.New(sha256.New, secret)
	field := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		m.Write(n[:])
		m.Write(b)
	}
	field([]byte(handshakeSubject))
	field([]byte(role))
	for _, h := range []hello{dialler, acceptor} {
		field([]byte(h.ID))
		field(binary.BigEndian.AppendUint64(nil, h.Incarnation))
		field([]byte(h.Address))
		field(h.Nonce)
	}
	return m.Sum(nil)
}

func write(ctx context.Context, c *websocket.Conn, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "linker: encode handshake")
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
		if hmac.Equal(p.MAC, mac(s, role, dialler, acceptor)) {
			return nil
		}
	}
	return errHandshake
}
