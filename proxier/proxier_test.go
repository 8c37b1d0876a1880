package proxier

import (
	"bufio"
	"io"
	"net"
	"os/exec"
	"sync"
	"testing"
	"time"

	"rosemaryarch.example/rosemaryarch/clock"
)

// echo answers each line with the same line.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// Guards against a fault that the proxy does not inject, and against one that
// outlasts its end: the soak would then prove nothing.
func TestFaults(t *testing.T) {
	const line = "hello\n"
	tests := map[string]struct {
		fault   Fault
		silent  bool          // until the fault ends
		atLeast time.Duration // of the answer
	}{
		"none":     {Fault{}, false, 0},
		"delay":    {Fault{Delay: 100 * clock.Millis(1)}, false, 200 * time.Millisecond},
		"cut up":   {Fault{CutUp: true}, true, 0},
		"cut down": {Fault{CutDown: true}, true, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := New("127.0.0.1:0", echo(t))
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			c, err := net.Dial("tcp4", p.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			p.Set(tt.fault)
			begin := time.Now()
			if _, err := io.WriteString(c, line); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(c)
			if tt.silent {
				_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				if got, err := r.ReadString('\n'); err == nil {
					t.Fatalf("during the cut: got %q, want nothing", got)
				}
				p.Set(Fault{})
			}
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			if got, err := r.ReadString('\n'); err != nil || got != line {
				t.Errorf("answer: got %q, %v, want %q", got, err, line)
			}
			if got := time.Since(begin); got < tt.atLeast {
				t.Errorf("answer after %v, want %v at least", got, tt.atLeast)
			}
			p.Reset()
			if _, err := r.ReadString('\n'); err == nil || err == io.EOF {
				t.Errorf("after a reset: got %v, want a broken connection", err)
			}
		})
	}
}

// Guards against a run that ends because an address counts as in use while
// other processes are started. Found by the soak (seed 136, 8 runs at once).
func TestListenWhileProcessesStart(t *testing.T) {
	done := make(chan struct{})
	var starts sync.WaitGroup
	for range 4 {
		starts.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = exec.Command("/bin/true").Run() // only its start matters
				}
			}
		})
	}
	l, err := Listen("127.0.0.1:0")
	for range 3000 {
		if err != nil {
			break
		}
		address := l.Addr().String()
		l.Close()
		l, err = Listen(address)
	}
	close(done)
	starts.Wait()
	if err != nil {
		t.Errorf("listen again: got %v, want none", err)
	} else {
		l.Close()
	}
}
