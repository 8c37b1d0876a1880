package soaker

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"go.yaml.in/yaml/v3"

	"rosemaryarch.example/rosemaryarch/clock"
)

// regression is a seed that once found a violation, with its cause.
type regression struct {
	Seed    uint64 `yaml:"seed"`
	Seconds int64  `yaml:"seconds"`
	Cause   string `yaml:"cause"`
}

// TestSoak guards against violations of the guarantees by the complete program under
// faults. It runs the seeds in testdata/seeds.yaml: a short run, and each seed that
// found a violation. Long runs are started manually with "rosemaryarch soak".
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "rosemaryarch")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/rosemaryarch").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	text, err := os.ReadFile("testdata/seeds.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var seeds []regression
	if err := yaml.Unmarshal(text, &seeds); err != nil {
		t.Fatal(err)
	}
	for _, x := range seeds {
		t.Run(x.Cause, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			r, err := New(Options{
				Program: program, Dir: dir, Seed: x.Seed, Instances: 4, Endpoints: 2, Callers: 6,
				FaultPhase: clock.Millis(x.Seconds) * clock.Second,
			}).Run(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range r.Violations {
				t.Errorf("seed %d: %s", x.Seed, v)
			}
			if r.Succeeded == 0 {
				t.Errorf("seed %d: none of %d requests succeeded", x.Seed, r.Requests)
			}
			if t.Failed() {
				for _, f := range r.FaultLog {
					t.Log(f)
				}
			}
		})
	}
}
