package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/configwriter"
	"rosemaryarch.example/rosemaryarch/gossiper"
	"rosemaryarch.example/rosemaryarch/messenger"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// TestDriver guards against lost adoptions, hints or confirmations when Connect
// and Run connect links, store and follower. It runs three instances over real
// links; the second data centre has no store and must be confirmed through
// peers.
func TestDriver(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	store := storeemulator.New()
	down := storeemulator.New()
	down.SetFaults(storeemulator.Faults{Down: true})
	c := clock.System()
	var members []gossiper.Member
	var listeners []net.Listener
	for i, dc := range []string{"oita", "oita", "aluva"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		members = append(members, gossiper.Member{
			ID: fmt.Sprint("i", i), Address: listener.Addr().String(), DataCentre: dc, Incarnation: 1,
		})
	}
	var followers []*Follower
	for i, m := range members {
		peerMessenger := messenger.New(messenger.Options{
			ID: m.ID, Incarnation: 1, Address: m.Address,
			Secrets: func() [][]byte { return [][]byte{[]byte("secret of the test")} },
		}, done)
		server := &httptest.Server{Listener: listeners[i], Config: &http.Server{Handler: peerMessenger}}
		server.Start()
		defer server.Close()
		defer peerMessenger.Close()
		f := New(m, rand.New(rand.NewPCG(uint64(i), 1)))
		f.Members = func() []gossiper.Member { return members }
		s := store.Store()
		if m.DataCentre == "aluva" {
			s = down.Store()
		}
		f.Connect(peerMessenger, s, c)
		go f.Run(s, c, done)
		followers = append(followers, f)
	}
	writer := configwriter.New(store.Store(), c)
	writer.OnAccept = func(value []byte, version uint64, startedAt clock.Millis) {
		followers[0].HandleWrite(c.Now(), value, version, startedAt)
	}
	writer.CheckWritable = func() error { return followers[0].CheckWritable(c) }
	for i := 0; followers[0].CheckWritable(c) != nil && i < 1000; i++ {
		time.Sleep(5 * time.Millisecond)
	}
	for revision := uint64(1); revision <= 3; revision++ {
		if _, err := writer.Apply(context.Background(), fmt.Sprint(revision), revision-1, fmt.Sprint(revision)); err != nil {
			t.Fatal(err)
		}
		deadline := time.Now().Add(30 * time.Second)
		for i := 0; i < len(followers); {
			fresh, reason := followers[i].Fresh(c.Now())
			if fresh && followers[i].Current().Revision == revision {
				i++
				continue
			}
			if time.Now().After(deadline) {
				t.Fatalf("instance %d: revision %d, %s, want %d", i, followers[i].Current().Revision, reason, revision)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}
