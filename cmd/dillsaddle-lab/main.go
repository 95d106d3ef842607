// Command dillsaddle-lab is the maintainers' load and experiment tool.
package main

import (
	"os"

	"dillsaddle.example/dillsaddle/lab"
)

func main() {
	os.Exit(lab.Run(os.Args[1:]))
}
