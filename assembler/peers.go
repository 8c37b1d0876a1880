package assembler

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/allocator"
	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/configwriter"
	"rosemaryarch.example/rosemaryarch/disseminator"
	"rosemaryarch.example/rosemaryarch/follower"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/loader"
	"rosemaryarch.example/rosemaryarch/messenger"
	"rosemaryarch.example/rosemaryarch/permitter"
	"rosemaryarch.example/rosemaryarch/server"
)

// kindEntry is the kind of the message that asks a peer for its address for
// callers.
const kindEntry = "entry"

// errNotJoined is the answer to kindEntry while the instance is not a member of a
// permit assignment, so that it cannot send requests to endpoints.
var errNotJoined = errors.New("assembler: the instance is not yet a member of a permit assignment")

// entryReply is the answer to kindEntry: the address for callers.
type entryReply struct {
	Address string `cbor:"address"`
}

// entryCache holds the entry replies of the peers by member name, which consists
// of instance id and incarnation: a restarted instance may use another address.
type entryCache struct {
	mu      sync.Mutex
	replies map[string]entryReply
}

// buildPeers creates the components that exchange messages with other instances:
// connections, gossip, replication of the configuration, dissemination of counts,
// and permit assignment.
func (i *Instance) buildPeers() error {
	serverTLS, clientTLS, err := peerTLS(i.settings.PeerTLS)
	if err != nil {
		return err
	}
	i.fleet.serverTLS = serverTLS
	self := gossiper.Member{
		ID: i.settings.Instance, Address: i.settings.PeerListen, DataCentre: i.settings.DataCentre,
		Region: i.settings.Region, Incarnation: gossiper.FirstIncarnation(i.incarnation),
	}
	i.messenger = messenger.New(messenger.Options{
		ID: self.ID, Incarnation: i.incarnation, Address: self.Address, Secrets: i.peerSecrets, TLS: clientTLS,
		Path: "/", Dial: i.options.Dial, OnDrop: func(reason string) { i.meter.CountEvent("peer_message_dropped_" + reason) },
	}, i.done)
	i.gossip = gossiper.New(self, i.newRandom(3))
	i.follower = follower.New(self, i.newRandom(4))
	i.follower.Members = i.gossip.Members
	i.follower.Connect(i.messenger, i.store, i.clock)
	i.follower.OnAdopt = i.adoptConfig
	i.gossip.OwnDigest = func() [gossiper.DigestBytes]byte {
		return i.follower.Digest(i.clock.Now(), i.estimator.Digest())
	}
	i.gossip.OnDigest = func(from gossiper.Member, d [gossiper.DigestBytes]byte, probedAt clock.Millis) {
		i.follower.HandleDigest(i.clock.Now(), from, d, probedAt)
	}
	i.connectGossip()
	i.disseminator = disseminator.New(self.ID, i.estimator, i.supervisor, i.newRandom(5))
	i.disseminator.Members = i.gossip.Members
	i.disseminator.Connect(i.messenger, i.clock)
	i.allocator = allocator.New(
		i.memberName(), i.store, i.options.Permits, i.clock, i.newRandom(6))
	i.allocator.Members = i.gossip.Members
	i.allocator.Processes = func() []permitter.Process { return i.tracker.Processes() }
	i.allocator.Connect(i.messenger)
	i.messenger.Handle(kindEntry, func(context.Context, messenger.Envelope) ([]byte, error) {
		if !i.allocator.Joined() {
			return nil, errNotJoined
		}
		return cbor.Marshal(entryReply{Address: i.settings.Listen})
	})
	i.buildConfigWriter()
	return nil
}

func (i *Instance) peerSecrets() [][]byte {
	var secrets [][]byte
	for _, s := range i.keys.Keys().PeerSecrets {
		secrets = append(secrets, []byte(s))
	}
	return secrets
}

// connectGossip handles the gossip messages that arrive from peers.
func (i *Instance) connectGossip() {
	for _, kind := range []string{gossiper.KindPing, gossiper.KindAck, gossiper.KindPingReq} {
		i.messenger.Handle(kind, func(_ context.Context, e messenger.Envelope) ([]byte, error) {
			p, err := gossiper.Decode(e.Kind, e.Body)
			if err != nil {
				return nil, err
			}
			i.sendPackets(i.gossip.Receive(i.clock.Now(), p))
			return nil, nil
		})
	}
}

func (i *Instance) sendPackets(packets []gossiper.Packet) {
	for _, p := range packets {
		body, err := p.Encode()
		if err != nil {
			klog.Errorf("assembler: encode gossip packet: %v", err)
			continue
		}
		_ = i.messenger.Send(p.To, p.Kind, body) // dropped messages are counted there; gossip tolerates loss
	}
}

func (i *Instance) tickGossip(now clock.Millis) {
	i.sendPackets(i.gossip.Tick(now))
	if i.gossip.IsReplaced() && !i.drain.started() {
		klog.Errorf("assembler: a newer process runs under the id %s, shutting down", i.settings.Instance)
		go func() { _ = i.Shutdown(context.Background()) }()
	}
}

func (i *Instance) buildConfigWriter() {
	i.configWriter = configwriter.New(i.store, i.clock)
	i.configWriter.Validate = validateText
	i.configWriter.CheckDataCentre = checkDataCentre
	i.configWriter.CheckEndpoint = i.checkEndpoint
	i.configWriter.CheckWritable = i.checkWritable
	i.configWriter.OnAccept = func(value []byte, version uint64, startedAt clock.Millis) {
		i.follower.HandleWrite(i.clock.Now(), value, version, startedAt)
	}
}

// tickPeers asks live peers whose address for callers is not yet known for it.
func (i *Instance) tickPeers(clock.Millis) {
	for _, m := range i.gossip.Members() {
		if m.ID == i.settings.Instance || m.State != gossiper.Alive && m.State != gossiper.Suspect {
			continue
		}
		if _, ok := i.fleet.entries.get(m); !ok {
			go i.queryEntry(m)
		}
	}
}

func (i *Instance) queryEntry(m gossiper.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	body, err := i.messenger.Call(ctx, m.Address, kindEntry, nil)
	if err != nil {
		return
	}
	var r entryReply
	if err := cbor.Unmarshal(body, &r); err != nil {
		klog.Errorf("assembler: decode entry reply of %s: %v", m.ID, err)
		return
	}
	i.fleet.entries.put(m, r)
}

func (e *entryCache) get(m gossiper.Member) (entryReply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.replies[allocator.MemberName(m.ID, m.Process())]
	return r, ok
}

func (e *entryCache) put(m gossiper.Member, r entryReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replies == nil {
		e.replies = map[string]entryReply{}
	}
	e.replies[allocator.MemberName(m.ID, m.Process())] = r
}

// entries returns the addresses to which callers may send requests now: those of
// this instance and of the alive peers, except for instances that are leaving or
// whose data centre is out of service.
func (i *Instance) entries() server.Entries {
	out := i.config.current().dataCentresOut
	list := server.Entries{LifetimeMS: i.settings.Limits.EntryLifetimeMS, Entries: []server.Entry{}}
	for _, m := range i.gossip.Members() {
		if m.State != gossiper.Alive || out[m.DataCentre] {
			continue
		}
		if m.ID == i.settings.Instance {
			if i.isAdvertised() {
				list.Entries = append(list.Entries, server.Entry{Address: i.settings.Listen, DataCentre: m.DataCentre})
			}
			continue
		}
		if r, ok := i.fleet.entries.get(m); ok {
			list.Entries = append(list.Entries, server.Entry{Address: r.Address, DataCentre: m.DataCentre})
		}
	}
	return list
}

// peerTLS returns the TLS configurations for mutual TLS between instances. They
// are nil if the settings name no certificate.
func peerTLS(t loader.TLS) (serverTLS, clientTLS *tls.Config, err error) {
	if t.Certificate == "" {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer_tls: certificate")
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer_tls: authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Newf("peer_tls: %s contains no PEM certificate", t.Authority)
	}
	serverTLS = &tls.Config{
		Certificates: []tls.Certificate{certificate}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	clientTLS = &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: pool, MinVersion: tls.VersionTLS13,
	}
	return serverTLS, clientTLS, nil
}
