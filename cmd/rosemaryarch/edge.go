package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"rosemaryarch.example/rosemaryarch/launcher"
	"rosemaryarch.example/rosemaryarch/platform"
)

// edgeCommand runs an instance on the users' platform, which names the settings
// file in an environment variable and stops the process by signals.
type edgeCommand struct {
	Settings string `arg:"--settings" help:"settings file [default: the platform's variable]"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

func (c *edgeCommand) run(context.Context) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if c.Check {
		_, err := platform.LoadSettings(path)
		return err
	}
	// A signal that arrives before Run handles it would end the process. The settings
	// are read after this.
	signal.Ignore(syscall.SIGHUP)
	l, err := launcher.New(path, os.Stdout)
	if err != nil {
		return err
	}
	return l.Run()
}
