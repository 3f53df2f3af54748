// Command standin-worker is a stand-in worker. It announces itself and runs simulated
// tasks that wait and return a result. On SIGTERM it leaves gracefully; a second SIGTERM
// terminates it at once.
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
