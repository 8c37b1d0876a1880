package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/experimenter"
)

// benchCommand runs experiments and fails if one misses a target.
type benchCommand struct {
	Names []string `arg:"positional" help:"experiments; all if left out"`
	List  bool     `arg:"--list" help:"list the experiments"`
	Seed  uint64   `arg:"--seed" default:"1"`
	JSON  string   `arg:"--json" help:"write the results to this file, one JSON object each" placeholder:"FILE"`
	Plots string   `arg:"--plots" help:"write one PNG for each experiment that has curves" placeholder:"DIR"`
}

// errTargetMissed is returned if an experiment missed one of its targets.
var errTargetMissed = errors.New("a target was not met")

// experiments returns all experiments that the command can run.
func experiments() experimenter.Experimenter {
	var all experimenter.Experimenter
	for _, x := range []experimenter.Experiment{
		experimenter.Cascade(), experimenter.ColdStart(), experimenter.EndpointChoice(),
		experimenter.EndpointFailure(), experimenter.Overload(), experimenter.Rollout(), committer.Sizing(),
	} {
		all = all.With(x)
	}
	return all
}

func (c *benchCommand) run(ctx context.Context) error {
	all := experiments()
	if c.List {
		for _, x := range all.Experiments() {
			fmt.Printf("%-20s %s\n", x.Name, x.Summary)
		}
		return nil
	}
	results, err := c.measure(ctx, all)
	if err != nil {
		return err
	}
	if err := c.write(results); err != nil {
		return err
	}
	for _, r := range results {
		for _, t := range r.Targets {
			if !t.Met() {
				return errors.Wrapf(errTargetMissed, "%s: %s", r.Name, t.Name)
			}
		}
	}
	return nil
}

// measure runs the experiments that the arguments name, or all, and prints a table
// of the results of each.
func (c *benchCommand) measure(ctx context.Context, all experimenter.Experimenter) ([]experimenter.Result, error) {
	names := c.Names
	if len(names) == 0 {
		for _, x := range all.Experiments() {
			names = append(names, x.Name)
		}
	}
	var results []experimenter.Result
	for _, name := range names {
		if err := ctx.Err(); err != nil {
			return nil, errors.Wrap(err, "bench")
		}
		r, err := all.Run(name, c.Seed)
		if err != nil {
			return nil, err
		}
		if err := r.WriteTable(os.Stdout); err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	return results, nil
}

// write writes the results as JSON and as plots, if the options ask for them.
func (c *benchCommand) write(results []experimenter.Result) error {
	if c.JSON != "" {
		err := writeFile(c.JSON, func(w io.Writer) error {
			for _, r := range results {
				if err := r.WriteJSON(w); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	if c.Plots == "" {
		return nil
	}
	if err := os.MkdirAll(c.Plots, 0o755); err != nil {
		return errors.Wrap(err, "create plots directory")
	}
	for _, r := range results {
		if len(r.Curves) == 0 {
			continue
		}
		if err := writeFile(filepath.Join(c.Plots, r.Name+".png"), r.WritePNG); err != nil {
			return err
		}
	}
	return nil
}

// writeFile creates or replaces a file with the output of content.
func writeFile(name string, content func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "write results")
	}
	if err := content(f); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "write results")
}
