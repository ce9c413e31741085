// Command harness plays one case of the review: it starts the instances as processes
// beside stand-ins of the platform, the backends and the clients.
//
//	harness CASE BINARY RECORD
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could
// not be played. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// cases maps the name of a case to what plays it. It returns what broke the rule.
var cases = map[string]func(binary string, log *record, trouble bool) (broken []string){
	"sync-commit-lost":       syncCommitLost,
	"stop-in-transaction":    stopInTransaction,
	"home-restarted":         homeRestarted,
	"revoked-in-transaction": revokedInTransaction,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		cannotRun("usage: harness CASE BINARY RECORD")
	}
	runtime.LockOSThread() // a process ends with the thread that started it, see world.start
	binary := os.Args[2]
	if _, err := os.Stat(binary); err != nil {
		cannotRun("%v; build the deploy file first", err)
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		cannotRun("%v", err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log := &record{file: file, started: time.Now()}
	log.write("case %s, disruption %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](binary, log, trouble)
	for _, b := range broken {
		log.write("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	log.write("broken: %d", len(broken))
	_ = file.Close()
	if len(broken) > 0 {
		os.Exit(1)
	}
	fmt.Println("held")
}
