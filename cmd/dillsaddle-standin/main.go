// Command dillsaddle-standin runs a stand-in for the platform, an engine or a
// service.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/standin"
)

func main() {
	err := standin.Run(os.Args[1:])
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	fmt.Fprintln(os.Stderr, "dillsaddle-standin:", err)
	os.Exit(1)
}
