package model_test

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/model"
)

// exploration is one run of a check, with all guards on or with one off.
type exploration struct {
	check  model.Check
	guard  core.Guard
	result model.Result
}

// exploreAll runs every check concurrently, with all guards on and with each guard off.
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

// maxConcurrent bounds the concurrent explorations, because of their memory use.
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

// explorations returns everything that exploreAll runs, in the same order.
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
