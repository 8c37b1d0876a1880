package networkemulator

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// TestFaults guards against a fault that loses or reorders data, affects the
// other direction, or does not end. Node a sends two chunks to node b under the
// fault.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		fault func(n *Network)
		heal  func(n *Network) // ends the fault after 5 s
		after time.Duration    // time from the start to the arrival of all data
		err   bool             // the connection fails
	}{
		"none":        {after: 0},
		"delay":       {fault: func(n *Network) { n.Delay("a", "b", time.Second) }, after: time.Second},
		"other delay": {fault: func(n *Network) { n.Delay("b", "a", time.Second) }},
		"cut": {
			fault: func(n *Network) { n.Cut("a", "b") }, heal: func(n *Network) { n.Heal("a", "b") }, after: 5 * time.Second,
		},
		"other cut": {fault: func(n *Network) { n.Cut("b", "a") }},
		"frozen sender": {
			fault: func(n *Network) { n.Freeze("a") }, heal: func(n *Network) { n.Thaw("a") }, after: 5 * time.Second,
		},
		"frozen receiver": {
			fault: func(n *Network) { n.Freeze("b") }, heal: func(n *Network) { n.Thaw("b") }, after: 5 * time.Second,
		},
		"reset": {fault: func(n *Network) { n.Reset("a") }, err: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New()
				l, err := n.Listen("tcp", "b")
				if err != nil {
					t.Fatal(err)
				}
				dialled, err := n.Dial("a")(context.Background(), "tcp", "b")
				if err != nil {
					t.Fatal(err)
				}
				accepted, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer n.Close()
				start := time.Now()
				if c.fault != nil {
					c.fault(n)
				}
				go func() {
					_, _ = dialled.Write([]byte("one "))
					_, _ = dialled.Write([]byte("two"))
					_ = dialled.Close()
				}()
				if c.heal != nil {
					time.AfterFunc(5*time.Second, func() { c.heal(n) })
				}
				data, err := io.ReadAll(accepted)
				if c.err != (err != nil) || !c.err && string(data) != "one two" {
					t.Errorf("got %q and error %v, want error: %v", data, err, c.err)
				}
				if got := time.Since(start); got != c.after {
					t.Errorf("arrival: got after %v, want %v", got, c.after)
				}
			})
		})
	}
}
