// Command dillsaddle is the operators' command-line tool.
package main

import (
	"os"

	"dillsaddle.example/dillsaddle/commands"
)

func main() {
	os.Exit(commands.Run(os.Args[1:], os.Stdout))
}
