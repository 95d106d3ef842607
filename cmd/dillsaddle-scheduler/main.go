// Command dillsaddle-scheduler runs the scheduler of a box, which owns endpoints and claims.
package main

import (
	"os"

	"dillsaddle.example/dillsaddle/admin"
	"dillsaddle.example/dillsaddle/engine/completions"
	"dillsaddle.example/dillsaddle/process"
	"dillsaddle.example/dillsaddle/scheduler"
)

func main() {
	os.Exit(process.Main("dillsaddle-scheduler", func(p *process.Dependencies) (process.Service, error) {
		worker, err := completions.New()
		if err != nil {
			return nil, err
		}
		s, err := scheduler.Start(p.Box, p.Log, worker, p.Recorder)
		if err != nil {
			return nil, err
		}
		admin.Listen(p.Box.SchedulerAdmin, s.Ready, admin.WithStatus(s.Status))
		return s, nil
	}))
}
