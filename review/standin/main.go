// The stand-ins of the review's scripts: the platform's store, model servers, consumers and
// a path that can be cut, and the cases that use them.
package main

import (
	"fmt"
	"os"
)

// exit codes of a case
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin engine|store-away|taken-away|cut-off ...")
		os.Exit(cannotRun)
	}
	if os.Args[1] == "engine" {
		os.Exit(engineMain(os.Args[2:]))
	}
	cases := map[string]func(*harness) (int, error){"store-away": storeAway, "taken-away": takenAway, "cut-off": cutOff}
	run := cases[os.Args[1]]
	if run == nil || len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin store-away|taken-away|cut-off REPOSITORY FOLDER")
		os.Exit(cannotRun)
	}
	h, err := newHarness(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	code, err := run(h)
	h.end()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = cannotRun
	}
	os.Exit(code)
}
