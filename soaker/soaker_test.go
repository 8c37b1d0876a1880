package soaker

import (
	"flag"
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
			run(t, Options{
				Seed: x.Seed, Instances: 4, Endpoints: 2, Callers: 6, FaultPhase: clock.Millis(x.Seconds) * clock.Second,
			})
		})
	}
}

var crashSeed = flag.Uint64("crash-seed", 1, "seed of TestPromptThatCrashesEndpointsIsContained")

// TestPromptThatCrashesEndpointsIsContained guards against requests that crash one
// endpoint after the other because their prompts share a part, and against a
// protection that refuses sound requests with them.
func TestPromptThatCrashesEndpointsIsContained(t *testing.T) {
	run(t, Options{
		Seed: *crashSeed, Instances: 4, Endpoints: 5, Callers: 10, FaultPhase: 12 * clock.Second, PromptsOnly: true,
	})
}

// run builds the program, runs the soak test and reports violations as errors.
func run(t *testing.T, o Options) {
	t.Helper()
	o.Dir, o.Program = t.TempDir(), filepath.Join(t.TempDir(), "rosemaryarch")
	if out, err := exec.Command("go", "build", "-o", o.Program, "../cmd/rosemaryarch").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	r, err := New(o).Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Errorf("seed %d: %s", r.Seed, v)
	}
	if r.Succeeded == 0 {
		t.Errorf("seed %d: none of %d requests succeeded", r.Seed, r.Requests)
	}
	if t.Failed() {
		for _, f := range r.FaultLog {
			t.Log(f)
		}
	}
	t.Logf("seed %d: %s", r.Seed, r.Prompts)
}
