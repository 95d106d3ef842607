package model_test

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/model"
)

// exploration is one exploration of a check, with a guard off or with all on.
type exploration struct {
	check  model.Check
	guard  core.Guard
	result model.Result
}

// exploreAll runs every check with all guards on and with each off, side by side.
var exploreAll = sync.OnceValue(func() []exploration {
	all := explorations()
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrent)
	for i := range all {
		wait.Go(func() {
			slots <- struct{}{}
			all[i].run()
			<-slots
		})
	}
	wait.Wait()
	return all
})

// maxConcurrent bounds the explorations side by side, for their memory.
const maxConcurrent = 4

func (o *exploration) run() {
	var options []core.Option
	if o.guard != "" {
		options = append(options, core.WithoutGuard(o.guard))
	}
	o.result = o.check.Run(false, options...)
}

var _ = Describe("the core protocol", func() {
	for i, o := range explorations() {
		if o.guard == "" {
			It("holds in: "+o.check.Name, func() {
				r := exploreAll()[i].result
				AddReportEntry(r.String())
				Expect(r.Violation).To(BeEmpty(), model.FormatTrace(r.Trace))
			})
			continue
		}
		It("is found broken without "+string(o.guard)+" in: "+o.check.Name, func() {
			r := exploreAll()[i].result
			AddReportEntry(r.String())
			Expect(r.Violation).NotTo(BeEmpty(), r.String())
		})
	}
})

// explorations lists what explored runs, in the same order.
func explorations() []exploration {
	var all []exploration
	for _, c := range model.Checks() {
		all = append(all, exploration{check: c})
		for _, g := range c.Guards {
			all = append(all, exploration{
				check: c,
				guard: g,
			})
		}
	}
	return all
}
