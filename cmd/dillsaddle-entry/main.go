// Command dillsaddle-entry runs the entry of a box, which serves callers.
package main

import (
	"os"

	"dillsaddle.example/dillsaddle/admin"
	"dillsaddle.example/dillsaddle/engine/completions"
	"dillsaddle.example/dillsaddle/entry"
	"dillsaddle.example/dillsaddle/process"
)

func main() {
	os.Exit(process.Main("dillsaddle-entry", func(p *process.Dependencies) (process.Service, error) {
		worker, err := completions.New()
		if err != nil {
			return nil, err
		}
		e, err := entry.Start(p.Box, p.Log, worker, p.Recorder)
		if err != nil {
			return nil, err
		}
		admin.Listen(p.Box.EntryAdmin, e.Ready, admin.WithStatus(e.Status))
		return e, nil
	}))
}
