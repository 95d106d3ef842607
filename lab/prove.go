package lab

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/model"
	"dillsaddle.example/dillsaddle/node"
	"dillsaddle.example/dillsaddle/proof"
)

func init() {
	fs := flag.NewFlagSet("prove", flag.ContinueOnError)
	programs := fs.String("programs", "bin", "`folder` of the programs")
	traces := fs.String("traces", "traces", "`folder` of the recorded traces")
	quick := fs.Bool("quick", false, "explore only to the smaller bounds that CI uses")
	commands = append(commands, &ffcli.Command{
		Name:       "prove",
		ShortUsage: "dillsaddle-lab prove [flags]",
		ShortHelp:  "check the promises with models, recorded traces and failures of real processes",
		FlagSet:    fs,
		Exec:       func(context.Context, []string) error { return prove(*programs, *traces, !*quick) },
	})
}

// maxDeepRuns limits the model explorations that run at once, because of their memory.
const maxDeepRuns = 3

// proofResults collects the checks that were run for each guarantee, and their failures.
type proofResults struct {
	mu     sync.Mutex
	checks map[model.Promise][]string
	failed map[model.Promise][]string
}

// add records a check for some guarantees and prints its result; an empty failure means
// that it passed.
func (r *proofResults) add(promises []model.Promise, what, failure string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range promises {
		r.checks[p] = append(r.checks[p], what)
		if failure != "" {
			r.failed[p] = append(r.failed[p], what+": "+failure)
		}
	}
	if failure != "" {
		fmt.Printf("broken: %s: %s\n", what, failure)
		return
	}
	fmt.Printf("held: %s\n", what)
}

// prove runs the model explorations, the recorded traces and the scenarios with real
// processes.
func prove(programs, traces string, deep bool) error {
	results := &proofResults{
		checks: make(map[model.Promise][]string),
		failed: make(map[model.Promise][]string),
	}
	proveModels(results, deep)
	if err := proveTraces(results, traces); err != nil {
		return err
	}
	for _, s := range proof.Scenarios() {
		details, err := s.Execute(programs)
		what := "processes, " + s.Name
		if details != "" {
			what += " (" + details + ")"
		}
		results.add(s.Promises, what, errorText(err))
	}
	return results.verdict()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func proveModels(results *proofResults, deep bool) {
	slots := make(chan struct{}, min(maxDeepRuns, runtime.GOMAXPROCS(0)))
	var wait sync.WaitGroup
	for _, c := range model.Checks() {
		wait.Go(func() {
			slots <- struct{}{}
			proveModel(results, c, deep)
			<-slots
		})
	}
	wait.Wait()
}

// proveModel explores a model with all guards enabled, and then with each guard disabled,
// when the exploration must find a violation.
func proveModel(results *proofResults, c model.Check, deep bool) {
	r := c.Run(deep)
	failure := r.Violation
	if failure != "" {
		failure += "\n" + model.FormatTrace(r.Trace)
	}
	results.add(c.Promises, "model, "+c.Name+" ("+r.String()+")", failure)
	for _, g := range c.Guards {
		withoutGuard := c.Run(false, core.WithoutGuard(g))
		failure := ""
		if withoutGuard.Violation == "" {
			failure = "no violation was found with the guard disabled"
		}
		results.add(c.Promises, fmt.Sprintf("model, %s, broken without %s in %d steps", c.Name, g, len(withoutGuard.Trace)), failure)
	}
}

// tracePromises maps a keyword in a recorded trace's file name to the guarantees that the
// trace exercises.
var tracePromises = map[string][]model.Promise{
	"stalled":  {model.TokensOnce, model.CompleteAnswer},
	"vanished": {model.TokensOnce, model.CompleteAnswer},
	"lost":     {model.CompleteAnswer, model.NotRunMeansNotRun},
	"double":   {model.AtMostOnce},
	"late":     {model.CompleteAnswer},
}

func proveTraces(results *proofResults, folder string) error {
	files, err := filepath.Glob(filepath.Join(folder, "*", "*.jsonl"))
	if err != nil || len(files) == 0 {
		return errors.Errorf("no traces in %s; give the folder with -traces", folder)
	}
	for _, file := range files {
		if err := proveTrace(results, file); err != nil {
			return err
		}
	}
	return nil
}

func proveTrace(results *proofResults, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	report, err := node.Replay(f)
	if err != nil {
		return errors.Wrap(err, file)
	}
	failure := ""
	if len(report.Mismatches) > 0 {
		failure = report.Mismatches[0].Error()
	}
	name := filepath.Base(file)
	for keyword, promises := range tracePromises {
		if strings.Contains(name, keyword) {
			results.add(promises, fmt.Sprintf("replay, %s (%d outcomes)", name, report.Expectations), failure)
		}
	}
	return nil
}

// verdict prints the result for each guarantee and returns an error if one was broken.
func (r *proofResults) verdict() error {
	failed := 0
	for p := model.TokensOnce; p <= model.NeverOlderConfig; p++ {
		verdict := "held"
		detail := fmt.Sprintf("%s; %d runs: %s", model.Promises[p], len(r.checks[p]), strings.Join(r.checks[p], "; "))
		switch {
		case len(r.failed[p]) > 0:
			verdict = "broken"
			detail = strings.Join(r.failed[p], "; ")
			failed++
		case len(r.checks[p]) == 0:
			verdict = "not proved"
			detail = "nothing was run"
		}
		fmt.Printf("promise %d: %s: %s\n", p, verdict, detail)
	}
	if failed > 0 {
		return errors.Errorf("%d promises were broken", failed)
	}
	return nil
}
