package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against an instance that ends because of a SIGHUP that arrives before it
// has read its settings. Seen in the soak, seed 102.
func TestSignalDuringStart(t *testing.T) {
	dir := t.TempDir()
	program, settings := filepath.Join(dir, "rosemaryarch"), filepath.Join(dir, "settings.toml")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	// The program waits in its start until the pipe has a writer.
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(program, "edge", "--settings", settings)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	w, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns when the program has opened it
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	_, _ = w.WriteString("invalid") // fails if the program has ended
	_ = w.Close()
	err = c.Wait()
	if code := c.ProcessState.ExitCode(); code != exitFailed {
		t.Errorf("got %v, want the exit code for invalid settings", err)
	}
}
