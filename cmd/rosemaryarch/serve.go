package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"rosemaryarch.example/rosemaryarch/assembler"
	"rosemaryarch.example/rosemaryarch/engineemulator"
	"rosemaryarch.example/rosemaryarch/hoster"
	"rosemaryarch.example/rosemaryarch/loader"
	"rosemaryarch.example/rosemaryarch/parser"
)

// serveCommand runs one instance until a signal ends it.
type serveCommand struct {
	Settings string `arg:"positional,required" help:"settings file of the instance"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

func (c *serveCommand) run(ctx context.Context) error {
	s, err := loader.Load(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		_, err := loader.OpenKeys(s.KeysFile)
		return err
	}
	i, err := assembler.New(s, assembler.Options{})
	if err != nil {
		return err
	}
	if err := i.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	return i.Shutdown(context.Background())
}

// standinsCommand runs the emulators of the outside systems, and writes settings
// with which instances use them.
type standinsCommand struct {
	Config    string `arg:"--config,required" help:"configuration text, which names data centres and models"`
	Dir       string `arg:"--dir,required" help:"directory for keys and settings of the instances"`
	Port      int    `arg:"--port" default:"7000" help:"first port"`
	Models    int    `arg:"--models" default:"20" help:"model engines"`
	Plain     int    `arg:"--plain" default:"4" help:"endpoints of the plain service"`
	Instances int    `arg:"--instances" default:"3" help:"instances to write settings for"`
}

func (c *standinsCommand) run(ctx context.Context) error {
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	f, err := parser.Parse(c.Config, text)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return errors.Wrap(err, "make directory")
	}
	h, err := hoster.New(hoster.Options{
		Fleet: f, ModelEngines: c.Models, PlainEndpoints: c.Plain, Instances: c.Instances, BasePort: c.Port, Dir: c.Dir,
		EngineOptions: engineemulator.Options{Seed: 1},
	})
	if err != nil {
		return err
	}
	defer h.Close()
	files, err := h.WriteSettings()
	if err != nil {
		return err
	}
	for _, file := range files {
		fmt.Println("wrote", file)
	}
	fmt.Printf("the emulators listen on ports from %d on; stop them with Ctrl-C\n", c.Port)
	<-ctx.Done()
	return nil
}

// changeID returns the given id of a change, or a random one if it is empty.
func changeID(given string) string {
	if given != "" {
		return given
	}
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
