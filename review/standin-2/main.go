// Command review-2 holds the stand-ins of the cases of a review: the platform's store, the
// platform that runs the processes of the system, servers and clients. Each case starts
// the system's own program as separate processes on loopback addresses.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	readyWait = 20 * time.Second
)

// scene is what the cases share.
type scene struct {
	trouble  bool
	binary   string
	dir      string
	network  string // the first three bytes of the loopback addresses
	store    *store
	machines []*machine
	begin    time.Time

	mu     sync.Mutex
	record *os.File
}

// note writes a line into the record.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
}

// host returns a loopback address.
func (s *scene) host(n int) string { return fmt.Sprintf("%s.%d", s.network, n) }

// newScene opens the record and starts the store.
func newScene(record string) (*scene, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &scene{
		trouble: os.Getenv("TROUBLE") != "0", binary: filepath.Join(root, "target", "rosemaryarch"), dir: dir, begin: time.Now(), record: f,
	}
	// The port of the metrics is fixed, so the addresses must be free.
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp4", s.host(1)+":9464")
		if err == nil {
			l.Close()
			break
		}
	}
	s.store, err = newStore(s.host(250))
	return s, err
}

// addMachine starts a machine.
func (s *scene) addMachine(name, zone string, limitMemory bool) error {
	m, err := newMachine(name, s.host(len(s.machines)+1), zone, s.store.address, s.binary, s.dir, s.note)
	if err != nil {
		return err
	}
	m.limitMemory = limitMemory
	s.machines = append(s.machines, m)
	go m.run()
	return nil
}

// close ends all processes that the case has started.
func (s *scene) close() {
	for _, m := range s.machines {
		m.stop()
	}
	_ = s.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// awaitReady waits until the directory names all machines.
func (s *scene) awaitReady(d *directory) bool {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		d.refresh(s.machines)
		if d.has(len(s.machines)) {
			return true
		}
	}
	return false
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(couldNot)
	}
	cases := map[string]func(*scene) (int, error){"long-bodies": longBodies, "stop-and-reload": stopAndReload, "unframed-extra": unframedExtra, "restored-key": restoredKey}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "review-2: no such case")
		os.Exit(couldNot)
	}
	s, err := newScene(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		os.Exit(couldNot)
	}
	code, err := run(s)
	if err != nil {
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "review-2:", err)
		code = couldNot
	}
	s.note("exit code %d", code)
	s.close()
	os.Exit(code)
}
