// Command teaselpaddle is the operators' and callers' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"teaselpaddle.example/teaselpaddle/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := cli.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
