// Stand-ins of the platform, the samplers and the clients for the cases of review 3, which start the system's own processes beside
// them. Usage: standin-3 CASE RECORD, in the repository's root. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool){}

// caseTime bounds a case.
const caseTime = 115 * time.Second

var current *fleet

// cannotRun ends the case without a result.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case cannot run: "+format+"\n", args...)
	if current != nil {
		current.log("the case cannot run: "+format, args...)
		current.end()
	}
	os.Exit(2)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(2)
	}
	root, err := os.Getwd()
	if err != nil {
		cannotRun("%v", err)
	}
	current = newFleet(root, os.Args[2])
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-interrupted:
			cannotRun("interrupted")
		case <-time.After(caseTime):
			cannotRun("not done after %v", caseTime)
		}
	}()
	defer func() {
		if err := recover(); err != nil {
			cannotRun("%v", err)
		}
	}()
	broken := cases[os.Args[1]](current, os.Getenv("TROUBLE") != "0")
	verdict := "the rule held"
	if broken {
		verdict = "THE RULE WAS BROKEN"
	}
	current.log("%s", verdict)
	fmt.Println(verdict)
	current.end()
	if broken {
		os.Exit(1)
	}
}
