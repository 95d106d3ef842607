// Command dillsaddle-watch runs the watch of a box, which polls the platform.
package main

import (
	"os"

	"dillsaddle.example/dillsaddle/admin"
	"dillsaddle.example/dillsaddle/process"
	"dillsaddle.example/dillsaddle/watch"
)

func main() {
	os.Exit(process.Main("dillsaddle-watch", func(p *process.Dependencies) (process.Service, error) {
		w, err := watch.Start(p.Box, p.Log)
		if err != nil {
			return nil, err
		}
		admin.Listen(p.Box.WatchAdmin, w.Ready, admin.WithStatus(w.Status))
		return w, nil
	}))
}
