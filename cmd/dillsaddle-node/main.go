// Command dillsaddle-node runs a whole box as one process on the operators'
// platform.
package main

import (
	"os"

	"dillsaddle.example/dillsaddle/box"
)

func main() {
	os.Exit(box.Main(os.Args[1:], os.Stdout))
}
