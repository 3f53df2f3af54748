// Command standin-load is a load generator that takes the place of callers. It submits
// jobs through all entry instances, waits for the results and compares them with the
// journals that the workers write. It exits with 1 if they contradict each other or the
// result of a job is incomplete.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"teaselpaddle.example/teaselpaddle/internal/load"
)

func main() {
	var o load.Options
	arg.MustParse(&o)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	sum, err := load.Run(ctx, &o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-load:", err)
		os.Exit(1)
	}
	for i := range sum.Findings {
		fmt.Println("finding:", &sum.Findings[i])
	}
	if o.Mode != load.Demo {
		fmt.Println(sum.StatesLine())
	}
	fmt.Println(sum.RefusalsLine())
	fmt.Println(sum.Times())
	if o.Mode == load.Demo {
		fmt.Println(sum)
	}
	if !sum.Passed() {
		os.Exit(1)
	}
}
