// Command standin plays one case of the second review: it starts entry instances as processes, with the command of the deploy file,
// and plays the platform's store, the back ends and the clients itself. It exits with 1 if the case's rule was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a play, below the 120 s that a case may last.
const maxTime = 100 * time.Second

// Exit codes.
const (
	codeHeld   = 0
	codeBroken = 1
	codeNotRun = 2
)

func main() {
	cases := map[string]func(*run) error{"refused": playRefused, "drain": playDrain, "holder": playHolder, "unasked": playUnasked, "gone": playGone}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, from the repository's root; TROUBLE=0 leaves the disruption out")
		os.Exit(codeNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(playCase func(*run) error, folder string) int {
	r, err := newRun(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return codeNotRun
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		fmt.Fprintln(os.Stderr, "not run: interrupted, or it took too long")
		r.close()
		os.Exit(codeNotRun)
	}()
	err = playCase(r)
	broken := r.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		return codeNotRun
	case broken:
		return codeBroken
	}
	return codeHeld
}
