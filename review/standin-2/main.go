// Program standin runs the cases of the second review: it starts the boxes as processes, and the store,
// the servers and the clients within itself, and judges what clients and servers saw.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// The system ends the boxes with the thread that started them, which must last as long as the process.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*record, string, bool) (int, error){
		"part-batches": runPartBatches,
		"stale-box":    runStaleBox,
		"reset-path":   runResetPath,
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code, err := run(rec, folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	rec.log("exit code %d", code)
	rec.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Fprintln(os.Stderr, folder)
	}
	os.Exit(code)
}
