// Command vh-check searches every model of the core protocol exhaustively within
// its bounds and verifies that the search catches every mutant. It exits with
// status 1 if a model violates a rule, a search is incomplete or a mutant is not
// caught.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/vanillahinge/vanillahinge/spec"
	"github.com/vanillahinge/vanillahinge/spec/search"
)

func main() {
	only := flag.String("only", "", "run only the cases whose name contains this text")
	workers := flag.Int("workers", runtime.GOMAXPROCS(0), "number of worker goroutines")
	states := flag.Int("states", 0, "stop a search after this many states, which then counts as incomplete (0: no limit)")
	flag.Parse()
	debug.SetGCPercent(300) // all states of a level stay reachable, so frequent collections free little

	startTime := time.Now()
	failed := 0
	for _, c := range append(spec.Models(false), spec.Mutants(false)...) {
		if !strings.Contains(c.Name, *only) {
			continue
		}
		if !c.Run(os.Stdout, search.Limits{Workers: *workers, States: *states}) {
			failed++
		}
	}
	fmt.Printf("%d failed, %.1f s, %d workers\n", failed, time.Since(startTime).Seconds(), *workers)
	if failed > 0 {
		os.Exit(1)
	}
}
