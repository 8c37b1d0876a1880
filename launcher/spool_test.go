package launcher

import (
	"testing"

	"rosemaryarch.example/rosemaryarch/platform"
)

// Guards against a bound on what is held for slow callers that does not follow the memory
// limit of the process.
func TestSpoolMemory(t *testing.T) {
	for mb, want := range map[int]int64{0: 16 << 20, 144: 18 << 20, 536: 67 << 20} {
		l := &Launcher{settings: &platform.Settings{}}
		l.settings.Limits.MemoryMB = mb
		if got := l.spoolMemory(); got != want {
			t.Errorf("limit of %d MB: got %d bytes, want %d", mb, got, want)
		}
	}
}
