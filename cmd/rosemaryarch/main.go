// Command rosemaryarch is a router for model requests and plain services. See
// README.md for its subcommands.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"
)

type arguments struct {
	Serve      *serveCommand      `arg:"subcommand:serve" help:"run one instance"`
	Standins   *standinsCommand   `arg:"subcommand:standins" help:"serve only the emulators of the outside systems"`
	Demo       *demoCommand       `arg:"subcommand:demo" help:"run a fleet with emulators in one process"`
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

// command is one subcommand.
type command interface {
	run(ctx context.Context) error
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	chosen, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(os.Stderr)
		os.Exit(2)
	}
	setVerbosity(a.Verbosity)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := chosen.run(ctx); err != nil {
		klog.Flush()
		fmt.Fprintln(os.Stderr, "rosemaryarch:", err)
		os.Exit(1) //nolint:gocritic // the deferred stop only releases the signal handler
	}
	klog.Flush()
}

// setVerbosity passes the verbosity to klog, which reads it from a flag set.
func setVerbosity(level int) {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	_ = flags.Set("v", fmt.Sprint(level))
}
