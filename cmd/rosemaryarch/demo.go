package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/demonstrator"
	"rosemaryarch.example/rosemaryarch/examples"
)

// demoCommand runs the demonstration: a fleet with emulators in one process.
type demoCommand struct {
	Config    string  `arg:"--config" help:"configuration text; the Kyushu example if left out"`
	Instances int     `arg:"--instances" default:"9"`
	Models    int     `arg:"--models" default:"20" help:"model engines"`
	Plain     int     `arg:"--plain" default:"4" help:"endpoints of the plain service"`
	Rate      float64 `arg:"--rate" default:"100" help:"model requests a second"`
	Scale     float64 `arg:"--scale" default:"1" help:"factor of the phases' lengths"`
	Seed      uint64  `arg:"--seed" default:"1"`
	Logs      bool    `arg:"--logs" help:"show the instances' logs"`
}

func (c *demoCommand) run(ctx context.Context) error {
	text := []byte(examples.Kyushu)
	if c.Config != "" {
		var err error
		if text, err = os.ReadFile(filepath.Clean(c.Config)); err != nil {
			return errors.Wrap(err, "read configuration")
		}
	}
	if c.Instances < minDemoInstances {
		return errors.Newf("the demonstration needs at least %d instances", minDemoInstances)
	}
	if !c.Logs {
		discardLogs()
	}
	d := &demonstrator.Demonstrator{
		ConfigText: string(text), Output: os.Stdout, Seed: c.Seed, Instances: c.Instances, ModelEngines: c.Models,
		PlainEndpoints: c.Plain, RequestRate: c.Rate, TimeScale: c.Scale,
	}
	return d.Run(ctx)
}

// minDemoInstances is the number of instances that the phases need: one is killed,
// one is shut down, and a majority must remain.
const minDemoInstances = 6

// discardLogs discards the log output.
func discardLogs() {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, "rosemaryarch:", err)
		}
	}
	klog.SetOutput(discardWriter{})
}

// discardWriter is an io.Writer that discards its input.
type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
