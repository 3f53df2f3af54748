// Command bench measures the scheduling decisions against the naive reference.
package main

import (
	"os"

	"teaselpaddle.example/teaselpaddle/internal/replay"
)

func main() {
	for _, d := range []replay.Deployment{replay.Authority(), replay.Birlik()} {
		ev := replay.Generate(d, 1)
		for _, n := range []bool{true, false} {
			r, err := replay.Run(replay.Options{Events: ev, Naive: n})
			if err != nil {
				panic(err)
			}
			println(d.Name, n)
			r.Print(os.Stdout)
		}
	}
}
