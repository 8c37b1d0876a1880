package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/explainer"
)

// explainCommand prints the log lines that concern one request.
type explainCommand struct {
	ID    string   `arg:"positional,required" help:"the request's id"`
	Files []string `arg:"positional,required" help:"log files of the instances; - for standard input"`
}

func (c *explainCommand) run(context.Context) error {
	var x explainer.Explainer
	for _, name := range c.Files {
		if err := readLog(&x, name); err != nil {
			return err
		}
	}
	return x.Explain(os.Stdout, c.ID)
}

func readLog(x *explainer.Explainer, name string) error {
	f := os.Stdin
	if name != "-" {
		var err error
		if f, err = os.Open(name); err != nil {
			return errors.Wrap(err, "open log")
		}
		defer f.Close()
	}
	skipped, err := x.ReadLog(f)
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "rosemaryarch: %s: skipped %d lines that are not log lines\n", name, skipped)
	}
	return errors.Wrapf(err, "%s", name)
}
