// Command teaselpaddled is the scheduler's daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"teaselpaddle.example/teaselpaddle/internal/daemon"
	"teaselpaddle.example/teaselpaddle/internal/settings"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

type args struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings file: JSON with comments"`
}

// Description implements go-arg's Described.
func (args) Description() string { return "The teaselpaddle scheduler's daemon." }

// Epilogue implements go-arg's Epilogued.
func (args) Epilogue() string { return "Example: teaselpaddled --settings instance.jsonc" }

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a.Settings); err != nil {
		fmt.Fprintln(os.Stderr, "teaselpaddled:", err)
		os.Exit(1)
	}
}

func run(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if err := s.PrepareDataFolder(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return daemon.Run(ctx, s, telemetry.NewLogger(os.Stderr, s.LogLevel))
}
