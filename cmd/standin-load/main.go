// Command standin-load stands in for the callers: it submits jobs through every
// entry instance, waits for the answers, and compares them with the workers'
// own records.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"teaselpaddle.example/teaselpaddle/internal/load"
)

func main() {
	var o load.Options
	arg.MustParse(&o)
	sum, err := load.Run(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-load:", err)
		os.Exit(1)
	}
	fmt.Println(sum)
	if !sum.Good() {
		os.Exit(1)
	}
}
