// Command dillsaddle-lab runs the maintainers' load tests and experiments.
package main

import (
	"os"

	"dillsaddle.example/dillsaddle/lab"
)

func main() {
	os.Exit(lab.Run(os.Args[1:]))
}
