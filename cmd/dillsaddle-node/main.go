// Command dillsaddle-node is the one process of a box on the operators'
// platform.
package main

import (
	"os"

	"dillsaddle.example/dillsaddle/box"
)

func main() {
	os.Exit(box.Main(os.Args[1:], os.Stdout))
}
