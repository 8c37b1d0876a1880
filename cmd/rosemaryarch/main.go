// Command rosemaryarch runs an instance of the router for model requests and plain
// services, and contains the operators' commands, a demonstration, the soak test
// and the experiments. Each is a subcommand; README.md describes them.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/refuser"
)

type arguments struct {
	Serve      *serveCommand      `arg:"subcommand:serve" help:"run one instance"`
	Edge       *edgeCommand       `arg:"subcommand:edge" help:"run one instance on the users' platform"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"show what log files say of one request"`
	Standins   *standinsCommand   `arg:"subcommand:standins" help:"serve only the emulators of the outside systems"`
	Demo       *demoCommand       `arg:"subcommand:demo" help:"run a fleet with emulators in one process"`
	Soak       *soakCommand       `arg:"subcommand:soak" help:"run the program as processes on loopback under faults"`
	Bench      *benchCommand      `arg:"subcommand:bench" help:"run the experiments on the decision code"`
	Config     *configCommand     `arg:"subcommand:config" help:"check, apply and show the configuration"`
	DataCentre *dataCentreCommand `arg:"subcommand:datacentre" help:"take a data centre out or back in"`
	Endpoint   *endpointCommand   `arg:"subcommand:endpoint" help:"take an endpoint out or back in"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show instances, data centres, endpoints and versions"`
	Keys       *keysCommand       `arg:"subcommand:keys" help:"hash a key, or rotate the session key"`
	Verbosity  int                `arg:"-v,--verbosity" default:"0" help:"log verbosity"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "rosemaryarch routes model requests to permitted versions at the quality each workspace needs."
}

// command is a subcommand. Every type with a subcommand tag must implement it.
type command interface {
	run(ctx context.Context) error
}

// usageError is the error of an incomplete or invalid command line.
type usageError string

func (e usageError) Error() string { return string(e) }

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2 // after a usageError or errUnusable
)

func main() {
	code := runCommand(os.Args[1:], os.Stdout, os.Stderr)
	klog.Flush()
	os.Exit(code)
}

// runCommand runs the subcommand that args name and returns the exit code. An
// error is printed to stderr as one line that begins with the name of the program,
// and to stdout as JSON if the command prints JSON.
func runCommand(args []string, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "rosemaryarch"}, &a)
	if err != nil {
		fmt.Fprintln(stderr, "rosemaryarch:", err)
		return exitFailed
	}
	chosen, err := parseCommand(p, args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(stdout)
		return 0
	case err == nil:
		setVerbosity(a.Verbosity)
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		err = chosen.run(ctx)
	}
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errFindings):
		return exitFailed
	}
	klog.Flush()
	var usage usageError
	if errors.As(err, &usage) {
		help := strings.Join(append([]string{"rosemaryarch"}, p.SubcommandNames()...), " ")
		fmt.Fprintf(stderr, "rosemaryarch: %v (see: %s --help)\n", err, help)
		return exitUsage
	}
	fmt.Fprintln(stderr, "rosemaryarch:", err)
	if j, ok := chosen.(interface{ wantsJSON() bool }); ok && j.wantsJSON() {
		printError(stdout, err)
	}
	if errors.Is(err, errUnusable) {
		return exitUsage
	}
	return exitFailed
}

// printError writes an error in the JSON form in which instances return errors.
func printError(w io.Writer, err error) {
	detail := struct {
		Reason    refuser.Reason    `json:"reason"`
		Execution refuser.Execution `json:"run"`
		Message   string            `json:"message"`
	}{"failed", refuser.ExecutionUnknown, err.Error()}
	var r *refuser.Refusal
	switch {
	case errors.As(err, &r):
		detail.Reason, detail.Execution = r.Reason, r.Execution
	case errors.Is(err, administrator.ErrUnreachable):
		detail.Reason, detail.Execution = "unreachable", refuser.NotExecuted
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(map[string]any{"error": detail})
}

// parseCommand parses the arguments and returns the subcommand that they name.
func parseCommand(p *arg.Parser, args []string) (command, error) {
	if err := p.Parse(args); err != nil {
		if errors.Is(err, arg.ErrHelp) {
			return nil, err
		}
		return nil, usageError(err.Error())
	}
	chosen, ok := p.Subcommand().(command)
	if !ok {
		return nil, usageError("a subcommand is needed")
	}
	return chosen, nil
}

// setVerbosity passes the verbosity to klog, which reads it from a flag set.
func setVerbosity(level int) {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	_ = flags.Set("v", fmt.Sprint(level))
}
