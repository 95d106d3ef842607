package core

import (
	"time"
)

// Origin identifies one generation in one life of one endpoint.
type Origin struct {
	Endpoint    string
	Incarnation Incarnation
	Generation  string
}

// GenerationState is the state of one caller's stream.
type GenerationState string

// A generation waits, is placed, streams, resumes after a cut, and ends.
const (
	GenerationWaiting   GenerationState = "waiting"
	GenerationPlaced    GenerationState = "placed"
	GenerationStreaming GenerationState = "streaming"
	GenerationResuming  GenerationState = "resuming"
	GenerationEnded     GenerationState = "ended"
)

type generationTrigger string

const (
	generationPlace  generationTrigger = "place"
	generationToken  generationTrigger = "token"
	generationCut    generationTrigger = "cut"
	generationReturn generationTrigger = "return-to-queue"
	generationEnd    generationTrigger = "end"
)

var generationLifecycle = NewLifecycle(map[GenerationState]map[generationTrigger]GenerationState{
	GenerationWaiting: {
		generationPlace: GenerationPlaced,
		generationEnd:   GenerationEnded,
	},
	GenerationPlaced: {
		generationToken:  GenerationStreaming,
		generationCut:    GenerationResuming,
		generationReturn: GenerationWaiting,
		generationEnd:    GenerationEnded,
	},
	GenerationStreaming: {
		generationToken: GenerationStreaming,
		generationCut:   GenerationResuming,
		generationEnd:   GenerationEnded,
	},
	GenerationResuming: {
		generationToken: GenerationStreaming,
		generationCut:   GenerationResuming,
		generationEnd:   GenerationEnded,
	},
})

// EndCode is the stable code of a stream's end.
type EndCode string

// The codes of a stream's end; EndDone is the only one without an error.
const (
	EndDone          EndCode = ""
	EndRefused       EndCode = "endpoint_refused"
	EndLost          EndCode = "generation_lost"
	EndNotRepeatable EndCode = "not_repeatable"
	EndCancelled     EndCode = "cancelled"
	EndRetriesSpent  EndCode = "retries_spent"
	EndSlowCaller    EndCode = "slow_caller"
)

// DropReason says why a frame is not forwarded.
type DropReason string

// The reasons for which a frame is dropped.
const (
	DropNone      DropReason = ""
	DropDuplicate DropReason = "duplicate"
	DropGap       DropReason = "gap"
	DropForeign   DropReason = "foreign"
	DropLate      DropReason = "late"
)

// GenerationRules bounds retries and resumes of one stream.
type GenerationRules struct {
	Attempts     int
	ResumeWindow time.Duration
	ResumeDelay  time.Duration
}

// Generation assembles one caller's stream from one engine generation.
type Generation struct {
	State      GenerationState
	Repeatable bool
	Attempt    int
	Origin     Origin
	NextOffset uint64
	BytesSent  bool
	MayHaveRun bool
	Outcome    Outcome
	Code       EndCode
	cutAt      time.Time
	lastEnd    uint64
	rules      GenerationRules
	guards     Guards
}

// NewGeneration starts a stream that waits for its first placement.
func NewGeneration(repeatable bool, rules GenerationRules, options ...Option) *Generation {
	return &Generation{
		State:      GenerationWaiting,
		Repeatable: repeatable,
		rules:      rules,
		guards:     newGuards(options),
	}
}

// ContinueGeneration takes a stream over at an offset, on any box.
func ContinueGeneration(origin Origin, next uint64, rules GenerationRules, options ...Option) *Generation {
	g := NewGeneration(true, rules, options...)
	g.State = GenerationResuming
	g.Origin = origin
	g.NextOffset = next
	g.Attempt = 1
	g.BytesSent = true
	return g
}

// Step applies one event.
func (g *Generation) Step(now time.Time, ev Event) []Command {
	if g.State == GenerationEnded {
		return nil
	}
	switch e := ev.(type) {
	case Placed:
		return g.placed(e)
	case Sending:
		g.BytesSent = g.BytesSent || e.Attempt == g.Attempt
		return nil
	case Refused:
		return g.refused(e)
	case FrameArrived:
		return g.arrived(e)
	case LinkLost:
		return g.lost(now, e.Attempt)
	case GenerationGone:
		return g.gone(e)
	case CallerGone:
		return g.callerGone()
	case CallerLeft:
		return g.callerLeft(EndCancelled)
	case CallerSlow:
		return g.callerLeft(EndSlowCaller)
	}
	return nil
}

func (g *Generation) placed(e Placed) []Command {
	if generationLifecycle.Fire(&g.State, generationPlace) != nil {
		return nil
	}
	g.Attempt++
	g.BytesSent = false
	g.Origin = Origin{
		Endpoint:   e.Endpoint,
		Generation: e.Generation,
	}
	return []Command{SendAttempt{
		Attempt: g.Attempt,
		Origin:  g.Origin,
	}}
}

// refused is the one way back from a byte that left: the endpoint itself says
// that it did not start.
func (g *Generation) refused(e Refused) []Command {
	if e.Attempt != g.Attempt || g.State != GenerationPlaced {
		return nil
	}
	g.BytesSent = false
	if g.Attempt >= g.rules.Attempts {
		return g.end(g.unstarted(), EndRefused)
	}
	return g.again()
}

// unstarted is the outcome when no attempt is running now: an earlier one that
// was given up on may still have run.
func (g *Generation) unstarted() Outcome {
	if g.MayHaveRun && g.guards.on(GuardBytesSent) {
		return Unknown
	}
	return NotRun
}

func (g *Generation) again() []Command {
	avoid := g.Origin.Endpoint
	_ = generationLifecycle.Fire(&g.State, generationReturn)
	return []Command{PlaceAgain{Avoid: avoid}}
}

// CheckFrame judges one frame without building commands; it is the path that every
// token takes.
func (g *Generation) CheckFrame(attempt int, origin Origin, offset uint64) DropReason {
	if attempt != g.Attempt || g.State == GenerationWaiting || g.State == GenerationEnded {
		return DropLate
	}
	if !g.sameOrigin(origin) {
		return DropForeign
	}
	if offset < g.NextOffset && g.guards.on(GuardOffset) {
		return DropDuplicate
	}
	if offset > g.NextOffset && g.guards.on(GuardOffset) {
		return DropGap
	}
	if g.State != GenerationStreaming {
		g.Origin = origin
		_ = generationLifecycle.Fire(&g.State, generationToken)
	}
	return DropNone
}

func (g *Generation) sameOrigin(origin Origin) bool {
	if !g.guards.on(GuardOrigin) {
		return true
	}
	if origin.Endpoint != g.Origin.Endpoint || origin.Generation != g.Origin.Generation {
		return false
	}
	return g.Origin.Incarnation == 0 || origin.Incarnation == g.Origin.Incarnation
}

// CountForwarded counts the frame that Accept let through.
func (g *Generation) CountForwarded() { g.NextOffset++ }

func (g *Generation) arrived(e FrameArrived) []Command {
	if e.Final && e.Attempt == g.Attempt && e.Offset+1 == g.NextOffset && g.sameOrigin(e.Origin) {
		return g.end(Ran, EndDone) // the caller had the end already and asked again
	}
	reason := g.CheckFrame(e.Attempt, e.Origin, e.Offset)
	if reason == DropGap {
		g.Origin = e.Origin // a resume must find this life of the endpoint
		return append([]Command{DropFrame{Reason: reason}}, g.resumeAt(0)...)
	}
	if reason != DropNone {
		return []Command{DropFrame{Reason: reason}}
	}
	if e.Final {
		return g.end(Ran, EndDone)
	}
	g.CountForwarded()
	return []Command{ForwardToken{
		Offset: e.Offset,
		Origin: e.Origin,
	}}
}

func (g *Generation) end(outcome Outcome, code EndCode) []Command {
	_ = generationLifecycle.Fire(&g.State, generationEnd)
	g.Outcome = outcome
	g.Code = code
	return []Command{EndStream{
		Outcome: outcome,
		Code:    code,
	}}
}
