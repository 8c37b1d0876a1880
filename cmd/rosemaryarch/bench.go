package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/experimenter"
)

type benchCommand struct {
	Names []string `arg:"positional" help:"experiments; all if left out"`
	List  bool     `arg:"--list" help:"list the experiments"`
	Seed  uint64   `arg:"--seed" default:"1"`
	JSON  string   `arg:"--json" help:"write the results to this file" placeholder:"FILE"`
}

// errTargetMissed tells that an experiment did not reach a target.
var errTargetMissed = errors.New("a target was not met")

func (c *benchCommand) run(ctx context.Context) error {
	all := experimenter.Experimenter{}.With(experimenter.EndpointChoice()).With(experimenter.Rollout())
	if c.List {
		for _, x := range all.Experiments() {
			fmt.Printf("%-20s %s\n", x.Name, x.Summary)
		}
		return nil
	}
	if len(c.Names) == 0 {
		for _, x := range all.Experiments() {
			c.Names = append(c.Names, x.Name)
		}
	}
	var results []experimenter.Result
	missed := false
	for _, name := range c.Names {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r, err := all.Run(name, c.Seed)
		if err != nil {
			return err
		}
		if err := r.WriteTable(os.Stdout); err != nil {
			return err
		}
		for _, t := range r.Targets {
			missed = missed || !t.Met()
		}
		results = append(results, r)
	}
	if c.JSON != "" {
		data, err := json.MarshalIndent(results, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode results")
		}
		if err := os.WriteFile(c.JSON, data, 0o644); err != nil {
			return errors.Wrap(err, "write results")
		}
	}
	if missed {
		return errTargetMissed
	}
	return nil
}
