package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/configchecker"
	"rosemaryarch.example/rosemaryarch/decoder"
	"rosemaryarch.example/rosemaryarch/parser"
)

// Errors of config check. The report of findings is printed, so errFindings is not.
var (
	errFindings = errors.New("the check has findings")
	errUnusable = errors.New("a file cannot be used") // marks errors with exit code exitUsage
)

type configCheck struct {
	File    string `arg:"positional,required" help:"configuration text"`
	Against string `arg:"--against" help:"text in force, to list the differences" placeholder:"IN-FORCE"`
	JSON    bool   `arg:"--json" help:"print JSON"`
}

func (c *configCheck) wantsJSON() bool { return c.JSON }

func (c *configCheck) run(context.Context) error {
	text, err := decoder.ReadFile(c.File)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read configuration"), errUnusable)
	}
	var inForce *parser.Fleet
	if c.Against != "" {
		against, err := decoder.ReadFile(c.Against)
		if err == nil {
			inForce, err = parser.Parse(c.Against, against)
		}
		if err != nil {
			return errors.Mark(errors.Wrap(err, "read configuration in force"), errUnusable)
		}
	}
	report := configchecker.Check(c.File, text, inForce)
	if c.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		err = e.Encode(report)
	} else {
		err = report.WriteText(os.Stdout)
	}
	if err != nil {
		return errors.Wrap(err, "print the report")
	}
	if len(report.Findings) > 0 {
		return errFindings
	}
	return nil
}
