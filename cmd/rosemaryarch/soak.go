package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/soaker"
)

// soakCommand runs the program as processes under injected faults, with emulators
// of all outside systems, once for each seed.
type soakCommand struct {
	Program   string `arg:"--program" help:"program to run [default: this one]"`
	Dir       string `arg:"--dir,required" help:"takes settings and logs, one folder for each seed"`
	First     uint64 `arg:"--first" default:"1" help:"first seed"`
	Count     int    `arg:"--count" default:"1" help:"number of seeds"`
	Parallel  int    `arg:"--parallel" default:"1" help:"seeds at the same time"`
	Instances int    `arg:"--instances" default:"6"`
	Endpoints int    `arg:"--endpoints" default:"3" help:"endpoints of each of the two services"`
	Callers   int    `arg:"--callers" default:"12"`
	Seconds   int    `arg:"--seconds" default:"25" help:"length of the part with faults"`
	Faults    bool   `arg:"--faults" help:"print each fault"`
}

const (
	// maxParallel keeps the number of processes below a few hundred with the default
	// number of instances.
	maxParallel = 24
	// maxInstances and maxEndpoints are bounded by the addresses and ports of a run.
	maxInstances = 200
	maxEndpoints = 50
)

var errGuaranteesViolated = errors.New("guarantees were violated")

// validate returns a usage error if an option is out of range.
func (c *soakCommand) validate() error {
	if c.Count < 1 || c.Instances < 1 || c.Endpoints < 1 || c.Callers < 1 || c.Seconds < 0 {
		return usageError("the numbers of seeds, instances, endpoints and callers must be positive")
	}
	if c.Parallel < 1 || c.Parallel > maxParallel {
		return usageError(fmt.Sprintf("--parallel must be 1 to %d", maxParallel))
	}
	if c.Instances > maxInstances || c.Endpoints > maxEndpoints {
		return usageError(fmt.Sprintf("at most %d instances and %d endpoints of a service", maxInstances, maxEndpoints))
	}
	return nil
}

func (c *soakCommand) run(ctx context.Context) error {
	if err := c.validate(); err != nil {
		return err
	}
	program := c.Program
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "path of this program")
		}
		program = self
	}
	var group errgroup.Group
	group.SetLimit(c.Parallel)
	failedSeeds := make(chan uint64, c.Count)
	for i := range c.Count {
		group.Go(func() error {
			r, err := soaker.New(c.options(program, c.First+uint64(i))).Run(ctx)
			if err != nil {
				return errors.Wrapf(err, "seed %d", c.First+uint64(i))
			}
			fmt.Println(r)
			if len(r.Violations) > 0 {
				failedSeeds <- r.Seed
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if n := len(failedSeeds); n > 0 {
		return errors.Wrapf(errGuaranteesViolated, "%d of %d seeds", n, c.Count)
	}
	return nil
}

// options returns the options of the run with the given seed.
func (c *soakCommand) options(program string, seed uint64) soaker.Options {
	o := soaker.Options{
		Program: program, Dir: filepath.Join(c.Dir, fmt.Sprint("seed-", seed)), Seed: seed,
		Instances: c.Instances, Endpoints: c.Endpoints, Callers: c.Callers,
		FaultPhase: clock.Millis(c.Seconds) * clock.Second,
	}
	if c.Faults {
		o.Out = os.Stdout
	}
	return o
}
