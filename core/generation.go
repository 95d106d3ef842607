package core

import (
	"time"
)

// Origin identifies one generation in one process of an endpoint.
type Origin struct {
	Endpoint    string
	Incarnation Incarnation
	Generation  string
}

// GenerationState is the state of one caller's stream.
type GenerationState string

// A generation waits, is placed, streams, resumes after an interruption, and ends.
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

// EndCode is the error code with which a stream ended.
type EndCode string

// The codes with which a stream ends; EndDone is the only one without an error.
const (
	EndDone          EndCode = ""
	EndRefused       EndCode = "endpoint_refused"
	EndLost          EndCode = "generation_lost"
	EndNotRepeatable EndCode = "not_repeatable"
	EndCancelled     EndCode = "cancelled"
	EndRetriesSpent  EndCode = "retries_spent"
	EndSlowCaller    EndCode = "slow_caller"
)

// DropReason is the reason why a frame was not forwarded.
type DropReason string

// The reasons for dropping a frame.
const (
	DropNone      DropReason = ""
	DropDuplicate DropReason = "duplicate"
	DropGap       DropReason = "gap"
	DropForeign   DropReason = "foreign" // from another generation
	DropLate      DropReason = "late"    // from an earlier attempt, or no longer expected
)

// GenerationRules limit the retries and resumes of one stream.
type GenerationRules struct {
	Attempts     int           // maximum number of attempts before the first token
	ResumeWindow time.Duration // how long resumes may fail without a new token
	ResumeDelay  time.Duration // pause before a resume
}

// Generation is the state of one caller's stream, which forwards the tokens of one
// engine's generation. It forwards each token once and in order, retries before the
// first token, and resumes an interrupted stream only from the same generation.
type Generation struct {
	State             GenerationState
	Repeatable        bool
	Attempt           int
	Origin            Origin
	NextOffset        uint64 // offset of the next token to forward
	BytesSent         bool   // bytes of the current attempt may have been sent
	MayHaveRun        bool   // an earlier attempt may have run
	Outcome           Outcome
	Code              EndCode
	interruptedAt     time.Time // when the stream first broke at interruptedOffset
	interruptedOffset uint64
	rules             GenerationRules
	guards            Guards
}

// NewGeneration returns a stream that waits for its first placement.
func NewGeneration(repeatable bool, rules GenerationRules, options ...Option) *Generation {
	return &Generation{
		State:      GenerationWaiting,
		Repeatable: repeatable,
		rules:      rules,
		guards:     newGuards(options),
	}
}

// ContinueGeneration returns a stream that resumes an existing generation at an
// offset, possibly one that another box started.
func ContinueGeneration(origin Origin, nextOffset uint64, rules GenerationRules, options ...Option) *Generation {
	g := NewGeneration(true, rules, options...)
	g.State = GenerationResuming
	g.Origin = origin
	g.NextOffset = nextOffset
	g.Attempt = 1
	g.BytesSent = true
	return g
}

// Step applies an event and returns the commands to carry out.
func (g *Generation) Step(now time.Time, ev Event) []Command {
	if g.State == GenerationEnded {
		return nil
	}
	switch e := ev.(type) {
	case Placed:
		return g.handlePlaced(e)
	case Sending:
		g.BytesSent = g.BytesSent || e.Attempt == g.Attempt
		return nil
	case Refused:
		return g.handleRefused(e)
	case FrameArrived:
		return g.handleFrame(e)
	case LinkLost:
		return g.handleLinkLost(now, e.Attempt)
	case GenerationGone:
		return g.handleGenerationGone(e)
	case CallerGone:
		return g.cancelForCaller()
	case CallerLeft:
		return g.releaseForCaller(EndCancelled)
	case CallerSlow:
		return g.releaseForCaller(EndSlowCaller)
	}
	return nil
}

func (g *Generation) handlePlaced(e Placed) []Command {
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

// handleRefused places the request again. Only a refusal by the endpoint shows that
// a request didn't run although bytes of it were sent.
func (g *Generation) handleRefused(e Refused) []Command {
	if e.Attempt != g.Attempt || g.State != GenerationPlaced {
		return nil
	}
	g.BytesSent = false
	if g.Attempt >= g.rules.Attempts {
		return g.end(g.unstartedOutcome(), EndRefused)
	}
	return g.retryPlacement()
}

// unstartedOutcome returns the outcome of a request that no endpoint is running now. An
// earlier, abandoned attempt may have run.
func (g *Generation) unstartedOutcome() Outcome {
	if g.MayHaveRun && g.guards.enabled(GuardBytesSent) {
		return Unknown
	}
	return NotRun
}

func (g *Generation) retryPlacement() []Command {
	avoid := g.Origin.Endpoint
	_ = generationLifecycle.Fire(&g.State, generationReturn)
	return []Command{PlaceAgain{Avoid: avoid}}
}

// CheckFrame decides whether to forward a frame. It allocates no commands, since it
// is called for every token.
func (g *Generation) CheckFrame(attempt int, origin Origin, offset uint64) DropReason {
	if attempt != g.Attempt || g.State == GenerationWaiting || g.State == GenerationEnded {
		return DropLate
	}
	if !g.sameOrigin(origin) {
		return DropForeign
	}
	if offset < g.NextOffset && g.guards.enabled(GuardOffset) {
		return DropDuplicate
	}
	if offset > g.NextOffset && g.guards.enabled(GuardOffset) {
		return DropGap
	}
	if g.State != GenerationStreaming {
		g.Origin = origin
		_ = generationLifecycle.Fire(&g.State, generationToken)
	}
	return DropNone
}

func (g *Generation) sameOrigin(origin Origin) bool {
	if !g.guards.enabled(GuardOrigin) {
		return true
	}
	if origin.Endpoint != g.Origin.Endpoint || origin.Generation != g.Origin.Generation {
		return false
	}
	return g.Origin.Incarnation == 0 || origin.Incarnation == g.Origin.Incarnation
}

// CountForwarded advances the offset after a frame was forwarded.
func (g *Generation) CountForwarded() { g.NextOffset++ }

func (g *Generation) handleFrame(e FrameArrived) []Command {
	if e.Final && e.Attempt == g.Attempt && e.Offset+1 == g.NextOffset && g.sameOrigin(e.Origin) {
		return g.end(Ran, EndDone) // the caller had received all tokens and resumed
	}
	reason := g.CheckFrame(e.Attempt, e.Origin, e.Offset)
	if reason == DropGap {
		g.Origin = e.Origin // resume only in the same process of the endpoint
		return append([]Command{DropFrame{Reason: reason}}, g.resumeAfter(0)...)
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
