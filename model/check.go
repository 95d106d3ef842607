package model

import (
	"fmt"
	"slices"

	"dillsaddle.example/dillsaddle/core"
)

// Promise identifies a guarantee to callers and operators that must always hold.
type Promise int

// The promises, in the order of the users' requirements.
const (
	TokensOnce Promise = iota + 1
	CompleteAnswer
	NotRunMeansNotRun
	AtMostOnce
	NoWorkWhenLeaving
	PlannedStopCutsNothing
	NeverOlderConfig
)

// Promises describe each promise in one line.
var Promises = map[Promise]string{
	TokensOnce:             "each token once, in order, of one generation",
	CompleteAnswer:         "the complete answer to the caller's own request",
	NotRunMeansNotRun:      "a request reported as not run has not run",
	AtMostOnce:             "a request that may not be repeated runs at most once",
	NoWorkWhenLeaving:      "no new work for a leaving endpoint",
	PlannedStopCutsNothing: "a planned stop interrupts nothing",
	NeverOlderConfig:       "the accepted configuration, never an older one",
}

// Check is an exploration that tests some promises. It must find a violation when
// any one of its guards is switched off.
type Check struct {
	Name     string
	Promises []Promise
	Guards   []core.Guard
	Initial  func(deep bool, options ...core.Option) State
	States   int // the maximum number of states of a quick run; a deep run has maxDeepStates
}

// maxDeepStates bounds deep explorations.
const maxDeepStates = 700000

// maxGuardStates bounds explorations with a guard switched off.
const maxGuardStates = 400000

// maxDepth exceeds the depth of every specification.
const maxDepth = 100

// Run explores the check's specification, to the deep bounds if deep is true. Options
// switch guards off.
func (c *Check) Run(deep bool, options ...core.Option) Result {
	states := c.States
	switch {
	case len(options) > 0:
		states = maxGuardStates
	case deep:
		states = maxDeepStates
	}
	return Explore(c.Initial(deep, options...), Bounds{
		Depth:  maxDepth,
		States: states,
	})
}

// pick returns more if deep is true, and quick otherwise.
func pick(deep bool, quick, more int) int {
	if deep {
		return more
	}
	return quick
}

// Checks returns all explorations.
func Checks() []Check {
	all := []Check{
		streamCheck("streams of repeatable requests", true),
		streamCheck("streams of requests that may not be repeated", false),
		{
			Name:     "configuration versions on three boxes",
			Promises: []Promise{NeverOlderConfig},
			Guards:   []core.Guard{core.GuardVersionOrder, core.GuardVersionQuery},
			States:   200000,
			Initial: func(deep bool, options ...core.Option) State {
				return ConfigVersions(VersionRules{
					Faults:  pick(deep, 2, 3),
					Options: options,
				})
			},
		},
		{
			Name:     "planned stops",
			Promises: []Promise{PlannedStopCutsNothing},
			Guards:   []core.Guard{core.GuardDrain},
			States:   100000,
			Initial: func(deep bool, options ...core.Option) State {
				return PlannedStops(DrainRules{
					Streams: pick(deep, 4, 30),
					Options: options,
				})
			},
		},
	}
	all = append(all, callChecks()...)
	all = append(all, evacuationChecks()...)
	all = append(all, claimChecks()...)
	all = append(all, leaseChecks()...)
	return append(all, fenceChecks()...)
}

func streamCheck(name string, repeatable bool) Check {
	return Check{
		Name:     name,
		Promises: []Promise{TokensOnce, CompleteAnswer, NotRunMeansNotRun, AtMostOnce},
		Guards: []core.Guard{
			core.GuardOffset,
			core.GuardOrigin,
			core.GuardNoSplice,
			core.GuardCompleteAnswer,
			core.GuardBytesSent,
		},
		States: 100000,
		Initial: func(deep bool, options ...core.Option) State {
			return Streams(StreamRules{
				Callers:    pick(deep, 1, 2),
				Tokens:     pick(deep, 2, 1),
				Faults:     2,
				Repeatable: repeatable,
				Options:    options,
			})
		},
	}
}

// callChecks returns the checks of calls on the operators' platform.
func callChecks() []Check {
	check := func(name string, repeatable bool, events int, guards ...core.Guard) Check {
		resumable := repeatable && events > 0
		return Check{
			Name:     name,
			Promises: []Promise{TokensOnce, CompleteAnswer, NotRunMeansNotRun, AtMostOnce},
			Guards:   guards,
			States:   100000,
			Initial: func(deep bool, options ...core.Option) State {
				return Calls(CallRules{
					Rules: core.CallRules{
						Repeatable:   repeatable,
						Resumable:    resumable,
						MaxEndpoints: pick(repeatable, 1, 2),
						MaxSends:     3,
					},
					HasBudget: true,
					Events:    events,
					Faults:    pick(deep, 3, 5),
					Options:   options,
				})
			},
		}
	}
	return []Check{
		check("calls that run once", false, 0, core.GuardCallOnce, core.GuardCallOutcome),
		check("calls that may be repeated", true, 0, core.GuardCallOutcome),
		check("streams on the platform", false, 3, core.GuardCallOnce, core.GuardCallOutcome, core.GuardCallPartial),
		check("streams that may be resumed", true, 3, core.GuardCallOutcome, core.GuardCallPartial),
	}
}

// evacuationChecks returns the checks of moves off a leaving engine. A run that is
// moved twice would continue in two copies.
func evacuationChecks() []Check {
	check := func(boxes, runs int) Check {
		return Check{
			Name:     fmt.Sprintf("moves off an engine that leaves, %d boxes with %d runs each", boxes, runs),
			Promises: []Promise{TokensOnce},
			States:   30000,
			Initial: func(deep bool, _ ...core.Option) State {
				return Evacuations(EvacuationRules{
					Boxes:  boxes,
					Runs:   runs,
					Faults: pick(deep, 2, 4),
				})
			},
		}
	}
	return []Check{check(2, 2), check(3, 1)}
}

func claimChecks() []Check {
	guards := map[ClaimScenario][]core.Guard{
		SameList:     {core.GuardClaimRecord, core.GuardClaimRestart, core.GuardClaimTakeover},
		OwnerLeaves:  {core.GuardClaimTakeover},
		OwnerReturns: {core.GuardClaimTakeover},
		OwnerJoins:   {core.GuardClaimTakeover},
		OwnerStops:   {core.GuardClaimTakeover},
	}
	var all []Check
	for _, scenario := range []ClaimScenario{SameList, OwnerLeaves, OwnerReturns, OwnerJoins, OwnerStops} {
		for _, timed := range []bool{true, false} {
			needed := guards[scenario]
			if scenario == OwnerLeaves && timed {
				// A key without a creation time stays unknown to the successor for as
				// long as the old owner may still grant, so freshness isn't needed.
				needed = append(slices.Clone(needed), core.GuardClaimFresh)
			}
			all = append(all, claimCheck(scenario, timed, needed))
		}
	}
	return all
}

func claimCheck(scenario ClaimScenario, timed bool, guards []core.Guard) Check {
	kind := "keys without their time"
	if timed {
		kind = "keys with their time"
	}
	return Check{
		Name:     fmt.Sprintf("claims, %s, %s", scenario, kind),
		Promises: []Promise{AtMostOnce, NotRunMeansNotRun},
		Guards:   guards,
		States:   30000,
		Initial: func(deep bool, options ...core.Option) State {
			faults := pick(deep, 1, 2)
			if scenario == SameList {
				faults = 2
			}
			return Claims(ClaimRules{
				Scenario: scenario,
				Boxes:    []int{boxOwner, boxSuccessor},
				Keys:     1,
				Faults:   faults,
				Time:     2,
				Timed:    timed,
				Options:  options,
			})
		},
	}
}

func leaseChecks() []Check {
	check := func(name string, leaving bool, promises []Promise, guards ...core.Guard) Check {
		return Check{
			Name:     name,
			Promises: promises,
			Guards:   guards,
			States:   200000,
			Initial: func(deep bool, options ...core.Option) State {
				return Leases(LeaseRules{
					Faults:  pick(deep, 2, 3),
					Time:    pick(deep, 6, 8),
					Leaving: leaving,
					Options: options,
				})
			},
		}
	}
	return []Check{
		check("leases while the owner changes", false, []Promise{NoWorkWhenLeaving}, core.GuardLeaseTakeover),
		check("leases of an endpoint that leaves", true, []Promise{NoWorkWhenLeaving}, core.GuardLeaseLeaving, core.GuardLeaseExpiry, core.GuardLeasePause),
	}
}

func fenceChecks() []Check {
	check := func(name string, checks bool, guard core.Guard) Check {
		return Check{
			Name:     name,
			Promises: []Promise{NeverOlderConfig},
			Guards:   []core.Guard{guard},
			States:   200000,
			Initial: func(deep bool, options ...core.Option) State {
				return Fences(FenceRules{
					EndpointChecks: checks,
					Faults:         pick(deep, 2, 3),
					Time:           pick(deep, 4, 6),
					Options:        options,
				})
			},
		}
	}
	return []Check{
		check("orders to an endpoint that checks fences", true, core.GuardFence),
		check("orders to an endpoint that checks none", false, core.GuardFenceWait),
	}
}
