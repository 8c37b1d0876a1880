package messenger

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

var testSecret = []byte("0123456789abcdef")

// peer is a messenger with its HTTP server.
type peer struct {
	*Messenger
	server     *httptest.Server
	address    string
	accepts    atomic.Int32
	mu         sync.Mutex
	dropCounts map[string]int
	notes      chan Envelope
}

func (p *peer) dropCount(reason string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropCounts[reason]
}

func startPeerAt(t *testing.T, listener net.Listener, id string, incarnation uint64, secrets ...[]byte) *peer {
	t.Helper()
	p := &peer{address: listener.Addr().String(), dropCounts: map[string]int{}, notes: make(chan Envelope, 100)}
	p.Messenger = New(Options{
		ID: id, Incarnation: incarnation, Address: p.address,
		Secrets: func() [][]byte { return secrets },
		OnDrop: func(reason string) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.dropCounts[reason]++
		},
	}, nil)
	p.Handle("echo", func(_ context.Context, e Envelope) ([]byte, error) { return e.Body, nil })
	p.Handle("fail", func(context.Context, Envelope) ([]byte, error) { return nil, errors.New("handler error") })
	p.Handle("hang", func(ctx context.Context, _ Envelope) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	p.Handle("note", func(_ context.Context, e Envelope) ([]byte, error) {
		p.notes <- e
		return nil, nil
	})
	p.server = &httptest.Server{Listener: listener, Config: &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.accepts.Add(1)
			p.ServeHTTP(w, r)
		}),
	}}
	p.server.Start()
	t.Cleanup(p.stop)
	return p
}

func startPeer(t *testing.T, id string, incarnation uint64, secrets ...[]byte) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startPeerAt(t, listener, id, incarnation, secrets...)
}

func (p *peer) stop() {
	p.Close()
	p.server.Close()
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestOneLinkBothWays guards against a second connection between two peers,
// against lost answers, and against errors that state wrongly whether a call was
// refused, too large or could not be sent.
func TestOneLinkBothWays(t *testing.T) {
	a, b := startPeer(t, "a", 1, testSecret), startPeer(t, "b", 1, testSecret)
	ctx := testContext(t)
	if got, err := a.Call(ctx, b.address, "echo", []byte("x")); err != nil || string(got) != "x" {
		t.Fatalf("call: got %q, %v, want %q", got, err, "x")
	}
	if got, err := b.Call(ctx, a.address, "echo", []byte("y")); err != nil || string(got) != "y" {
		t.Fatalf("call back: got %q, %v, want %q", got, err, "y")
	}
	if err := b.Send(a.address, "note", []byte("z")); err != nil {
		t.Fatal(err)
	}
	if got := <-a.notes; got.From != "b" || got.Incarnation != 1 || string(got.Body) != "z" {
		t.Errorf("one-way message: got %+v", got)
	}
	if got, want := a.accepts.Load()+b.accepts.Load(), int32(1); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
	large := bytes.Repeat([]byte("l"), 1<<20)
	if got, err := a.Call(ctx, b.address, "echo", large); err != nil || !bytes.Equal(got, large) {
		t.Errorf("call with 1 MB: got %d bytes, %v", len(got), err)
	}
	faults := map[string]struct {
		address, kind string
		body          []byte
		want          error
	}{
		"handler fails": {b.address, "fail", nil, ErrRefused},
		"unknown kind":  {b.address, "nothing", nil, ErrRefused},
		"too large":     {b.address, "echo", make([]byte, MaxMessageBytes), ErrTooLarge},
		"no listener":   {"127.0.0.1:1", "echo", nil, ErrUnreachable},
		"own address":   {a.address, "echo", nil, ErrUnreachable},
	}
	for name, f := range faults {
		if _, err := a.Call(ctx, f.address, f.kind, f.body); !errors.Is(err, f.want) {
			t.Errorf("%s: got %v, want %v", name, err, f.want)
		}
	}
}

// TestHandshake guards against links without the shared secret and against
// failed handshakes while a rotation of the secret has reached only one side.
func TestHandshake(t *testing.T) {
	old, fresh := []byte("old secret of peers"), []byte("new secret of peers")
	cases := map[string]struct {
		dialler, acceptor [][]byte
		want              error
	}{
		"same secret":           {[][]byte{old}, [][]byte{old}, nil},
		"other secret":          {[][]byte{old}, [][]byte{fresh}, ErrUnreachable},
		"no secret":             {nil, nil, ErrUnreachable},
		"empty secret":          {[][]byte{{}}, [][]byte{{}}, ErrUnreachable},
		"acceptor accepts both": {[][]byte{old}, [][]byte{old, fresh}, nil},
		"dialler rotated":       {[][]byte{fresh, old}, [][]byte{old, fresh}, nil},
		"acceptor rotated":      {[][]byte{old, fresh}, [][]byte{fresh, old}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, b := startPeer(t, "a", 1, c.dialler...), startPeer(t, "b", 1, c.acceptor...)
			_, err := a.Call(testContext(t), b.address, "echo", nil)
			if !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// TestProofDependsOnAllInputs guards against a proof that can be replayed or
// reflected: it must depend on the secret, the role, both nonces and both
// identities.
func TestProofDependsOnAllInputs(t *testing.T) {
	d := hello{ID: "a", Incarnation: 1, Address: "x:1", Nonce: []byte("n1")}
	c := hello{ID: "b", Incarnation: 2, Address: "x:2", Nonce: []byte("n2")}
	variants := map[string][]byte{
		"base":             proofMAC(testSecret, roleDialler, d, c),
		"role":             proofMAC(testSecret, roleAcceptor, d, c),
		"swapped":          proofMAC(testSecret, roleDialler, c, d),
		"secret":           proofMAC([]byte("other"), roleDialler, d, c),
		"dialler's nonce":  proofMAC(testSecret, roleDialler, hello{"a", 1, "x:1", []byte("n3")}, c),
		"acceptor's nonce": proofMAC(testSecret, roleDialler, d, hello{"b", 2, "x:2", []byte("n3")}),
		"id":               proofMAC(testSecret, roleDialler, hello{"c", 1, "x:1", []byte("n1")}, c),
		"shifted field":    proofMAC(testSecret, roleDialler, hello{"a", 1, "x:1n", []byte("1")}, c),
		"incarnation":      proofMAC(testSecret, roleDialler, hello{"a", 9, "x:1", []byte("n1")}, c),
	}
	seen := map[string]string{}
	for name, m := range variants {
		if other, ok := seen[string(m)]; ok {
			t.Errorf("%s and %s have the same proof", name, other)
		}
		seen[string(m)] = name
	}
}

// TestAnswerReachesItsCall guards against an answer that is passed to another
// call or that is accepted from another process than the called one.
func TestAnswerReachesItsCall(t *testing.T) {
	cases := map[string]struct {
		answer Envelope
		want   string // reason of the drop
	}{
		"matching":           {Envelope{Kind: kindAnswer, From: "b", Incarnation: 7, ID: 1}, ""},
		"late":               {Envelope{Kind: kindAnswer, From: "b", Incarnation: 7, ID: 2}, "late_answer"},
		"of another process": {Envelope{Kind: kindAnswer, From: "b", Incarnation: 8, ID: 1}, "crossed_answer"},
		"of another peer":    {Envelope{Kind: kindAnswer, From: "c", Incarnation: 7, ID: 1}, "crossed_answer"},
	}
	for name, c := range cases {
		var dropped string
		m := New(Options{ID: "a", OnDrop: func(reason string) { dropped = reason }}, nil)
		waiting := &call{peer: "b", incarnation: 7, answer: make(chan Envelope, 1)}
		m.calls[1] = waiting
		m.handleAnswer(c.answer)
		if got := len(waiting.answer) == 1; got != (c.want == "") || dropped != c.want {
			t.Errorf("%s: delivered %v, dropped %q, want dropped %q", name, got, dropped, c.want)
		}
		m.Close()
	}
}

// TestQueueIsBounded guards against a queue that grows without bound because the
// peer reads slowly.
func TestQueueIsBounded(t *testing.T) {
	m := New(Options{ID: "a"}, nil)
	defer m.Close()
	cases := map[string]struct{ size, want int }{
		"by messages": {1, maxQueuedMessages},
		"by bytes":    {1 << 20, maxQueuedBytes >> 20},
	}
	for name, c := range cases {
		k := newLink(m, "x:1", true)
		var got int
		for ; got <= maxQueuedMessages; got++ {
			if err := k.enqueue(Envelope{Body: make([]byte, c.size)}); err != nil {
				if !errors.Is(err, ErrQueueFull) {
					t.Errorf("%s: got %v, want ErrQueueFull", name, err)
				}
				break
			}
		}
		if got != c.want {
			t.Errorf("%s: got %d queued, want %d", name, got, c.want)
		}
	}
}

// TestReplacedPeer guards against a call that keeps waiting after the called
// process stopped, and against a link that still names the old process, so that
// its answers pass for those of the new one, after that took over the address.
func TestReplacedPeer(t *testing.T) {
	a, old := startPeer(t, "a", 1, testSecret), startPeer(t, "b", 1, testSecret)
	ctx := testContext(t)
	failed := make(chan error)
	go func() {
		_, err := a.Call(ctx, old.address, "hang", nil)
		failed <- err
	}()
	for len(a.Peers()) == 0 {
		time.Sleep(time.Millisecond)
	}
	old.stop()
	if err := <-failed; !errors.Is(err, ErrLinkLost) && !errors.Is(err, ErrRefused) && !errors.Is(err, ErrUnreachable) {
		t.Errorf("call to a stopped peer: got %v, want ErrLinkLost, ErrRefused or ErrUnreachable", err)
	}
	listener, err := net.Listen("tcp", old.address)
	if err != nil {
		t.Fatalf("listen on the old address: %v", err)
	}
	startPeerAt(t, listener, "b", 2, testSecret)
	for {
		if _, err = a.Call(ctx, old.address, "echo", nil); err == nil || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if got, want := a.Peers()["b"], uint64(2); err != nil || got != want {
		t.Errorf("after the replacement: got incarnation %d, %v, want %d", got, err, want)
	}
}

// TestBothDial guards against calls that are lost when both sides dial at the
// same time.
func TestBothDial(t *testing.T) {
	for i := range 20 {
		a, b := startPeer(t, "a", 1, testSecret), startPeer(t, "b", 1, testSecret)
		ctx := testContext(t)
		results := make(chan error, 20)
		call := func(from, to *peer, n int) {
			body := fmt.Appendf(nil, "%s %d", from.options.ID, n)
			got, err := from.Call(ctx, to.address, "echo", body)
			if err == nil && !bytes.Equal(got, body) {
				err = errors.Newf("got %q, want %q", got, body)
			}
			results <- err
		}
		for n := range 10 {
			go call(a, b, n)
			go call(b, a, n)
		}
		for range 20 {
			if err := <-results; err != nil {
				t.Fatalf("round %d: %v", i, err)
			}
		}
		a.stop()
		b.stop()
	}
}

// TestHostilePeer guards against a crash and a forged sender: a peer without the
// secret gets no answer, and messages of one with it are dropped if they name
// another sender.
func TestHostilePeer(t *testing.T) {
	b := startPeer(t, "b", 1, testSecret)
	ctx := testContext(t)
	unauthenticated, _, err := websocket.Dial(ctx, "ws://"+b.address+"/peer", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = unauthenticated.Write(ctx, websocket.MessageBinary, []byte{0xff, 0x00})
	if _, _, err := unauthenticated.Read(ctx); err == nil {
		t.Error("a peer without the secret got an answer")
	}
	forger := New(Options{ID: "f", Incarnation: 1, Address: "f:1", Secrets: func() [][]byte {
		return [][]byte{testSecret}
	}}, nil)
	defer forger.Close()
	forgerConn, _, err := websocket.Dial(ctx, "ws://"+b.address+"/peer", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := forger.handshakeAsDialler(ctx, forgerConn); err != nil {
		t.Fatal(err)
	}
	good, _ := Envelope{Kind: "note", From: "f", Incarnation: 1}.Encode()
	forged, _ := Envelope{Kind: "note", From: "a", Incarnation: 1}.Encode()
	for _, m := range [][]byte{{0x01}, forged, good} {
		_ = forgerConn.Write(ctx, websocket.MessageBinary, m)
	}
	if got := <-b.notes; got.From != "f" {
		t.Errorf("got a message from %q, want %q", got.From, "f")
	}
	if b.dropCount("bad_message") != 1 || b.dropCount("crossed_message") != 1 {
		t.Errorf("drops: got %v, want one bad_message and one crossed_message", b.dropCounts)
	}
}

// TestMutualTLS guards against a link that opens without a client certificate
// when the instance requires one.
func TestMutualTLS(t *testing.T) {
	acceptor := New(Options{ID: "b", Address: "b:1", Secrets: func() [][]byte { return [][]byte{testSecret} }}, nil)
	defer acceptor.Close()
	acceptor.Handle("echo", func(_ context.Context, e Envelope) ([]byte, error) { return e.Body, nil })
	server := httptest.NewUnstartedServer(acceptor)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.TLS = &tls.Config{ClientAuth: tls.RequireAnyClientCert}
	server.StartTLS()
	defer server.Close()
	certificate := server.TLS.Certificates[0]
	pool := x509.NewCertPool()
	pool.AddCert(server.Certificate())
	cases := map[string]struct {
		config *tls.Config
		want   error
	}{
		"both certificates": {&tls.Config{RootCAs: pool, Certificates: []tls.Certificate{certificate}}, nil},
		"no client's":       {&tls.Config{RootCAs: pool}, ErrUnreachable},
		"unknown server's":  {&tls.Config{Certificates: []tls.Certificate{certificate}}, ErrUnreachable},
		"no TLS":            {nil, ErrUnreachable},
	}
	for name, c := range cases {
		m := New(Options{
			ID: "a", Address: "a:1", TLS: c.config, Secrets: func() [][]byte { return [][]byte{testSecret} },
		}, nil)
		_, err := m.Call(testContext(t), server.Listener.Addr().String(), "echo", nil)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
		m.Close()
	}
}

// BenchmarkCall measures a call with a small body over an open link, and the
// memory of one end of an idle link in KB.
func BenchmarkCall(b *testing.B) {
	secrets := func() [][]byte { return [][]byte{testSecret} }
	acceptor := New(Options{ID: "b", Address: "b:1", Secrets: secrets}, nil)
	defer acceptor.Close()
	acceptor.Handle("echo", func(_ context.Context, e Envelope) ([]byte, error) { return e.Body, nil })
	server := httptest.NewServer(acceptor)
	defer server.Close()
	const links = 200
	before := memoryInUse()
	var diallers []*Messenger
	for i := range links {
		m := New(Options{ID: fmt.Sprint("a", i), Address: fmt.Sprintf("a%d:1", i), Secrets: secrets}, nil)
		defer m.Close()
		if _, err := m.Call(context.Background(), server.Listener.Addr().String(), "echo", nil); err != nil {
			b.Fatal(err)
		}
		diallers = append(diallers, m)
	}
	ends := float64(memoryInUse()-before) / (2 * links) / 1024
	body := make([]byte, 100)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := diallers[0].Call(context.Background(), server.Listener.Addr().String(), "echo", body); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(ends, "KB/link_end")
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// FuzzDecode guards against input that crashes the decoder or that decodes to
// an envelope without a kind or sender.
func FuzzDecode(f *testing.F) {
	for _, e := range []Envelope{
		{Kind: "ping", From: "a", Incarnation: 1, Body: []byte{1}},
		{Kind: kindAnswer, From: "b", Incarnation: 1 << 60, ID: 9},
	} {
		b, _ := e.Encode()
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xa1, 0x64, 'k', 'i', 'n', 'd', 0x7b, 0, 0, 0, 1, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := Decode(b)
		if err != nil {
			return
		}
		if e.Kind == "" || e.From == "" {
			t.Errorf("incomplete envelope %+v from %x", e, b)
		}
		again, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if d, err := Decode(again); err != nil || d.Kind != e.Kind || d.ID != e.ID || !bytes.Equal(d.Body, e.Body) {
			t.Errorf("round trip: got %+v, %v, want %+v", d, err, e)
		}
	})
}
