// Command standin-worker stands in for a worker: it announces itself and
// carries out tasks that only pass time and answer. SIGTERM makes it leave; a
// second SIGTERM ends it at once.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"teaselpaddle.example/teaselpaddle/internal/standin"
)

func main() {
	var o standin.Options
	arg.MustParse(&o)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	if err := standin.Run(ctx, &o); err != nil {
		fmt.Fprintln(os.Stderr, "standin-worker:", err)
		os.Exit(1)
	}
}
