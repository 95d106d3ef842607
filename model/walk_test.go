package model_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"dillsaddle.example/dillsaddle/model"
)

// walkSeed fixes the walks, so that each run gives the same verdict.
const walkSeed = "20261202"

// walkCount is how many walks each specification takes.
const walkCount = "40"

// walkSteps is beyond the depth that is explored in full.
const walkSteps = 90

// TestWalks takes seeded walks with more faults, time and callers than can be
// explored in full.
func TestWalks(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": walkSeed, "rapid.checks": walkCount} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	firsts := map[string]func() model.State{
		"streams": func() model.State {
			return model.Streams(model.StreamRules{Callers: 2, Tokens: 4, Faults: 8, Repeatable: true})
		},
		"claims": func() model.State {
			return model.Claims(model.ClaimRules{
				Scenario: model.HomeReturns,
				Boxes:    []int{0, 1, 2, 1, 0, 2},
				Keys:     2,
				Faults:   5,
				Time:     12,
				Timed:    true,
			})
		},
		"leases": func() model.State { return model.Leases(model.LeaseRules{Faults: 6, Time: 20}) },
		"versions": func() model.State {
			return model.ConfigVersions(model.VersionRules{Faults: 10})
		},
		"orders": func() model.State {
			return model.Fences(model.FenceRules{Checks: true, Faults: 8, Time: 12})
		},
	}
	for name, first := range firsts {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				r := model.Walk(first(), walkSteps, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "step") })
				if r.Violation != "" {
					t.Fatalf("%s\n%s", r.Violation, model.FormatTrace(r.Trace))
				}
			})
		})
	}
}
