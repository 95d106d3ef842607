package core

import (
	"time"
)

func (g *Generation) handleLinkLost(now time.Time, attempt int) []Command {
	if attempt != g.Attempt {
		return nil
	}
	if g.State == GenerationPlaced {
		return g.handleLossBeforeToken()
	}
	if g.State == GenerationWaiting {
		return nil
	}
	if g.interruptedAt.IsZero() || g.NextOffset > g.interruptedOffset {
		g.interruptedAt = now
		g.interruptedOffset = g.NextOffset
	}
	if now.Sub(g.interruptedAt) > g.rules.ResumeWindow {
		return append([]Command{CancelAttempt{Origin: g.Origin}}, g.end(Ran, EndLost)...)
	}
	if !g.guards.enabled(GuardNoSplice) && g.Repeatable {
		g.State = GenerationWaiting
		g.MayHaveRun = true
		g.Origin = Origin{}
		return []Command{PlaceAgain{Avoid: g.Origin.Endpoint}}
	}
	return g.resumeAfter(g.rules.ResumeDelay)
}

func (g *Generation) handleLossBeforeToken() []Command {
	if !g.BytesSent {
		return g.retryPlacement()
	}
	g.MayHaveRun = true
	cancel := CancelAttempt{Origin: g.Origin}
	if !g.Repeatable {
		if !g.guards.enabled(GuardBytesSent) {
			return append([]Command{cancel}, g.end(NotRun, EndLost)...)
		}
		return append([]Command{cancel}, g.end(Unknown, EndNotRepeatable)...)
	}
	if g.Attempt >= g.rules.Attempts {
		return append([]Command{cancel}, g.end(Unknown, EndRetriesSpent)...)
	}
	return append([]Command{cancel}, g.retryPlacement()...)
}

func (g *Generation) resumeAfter(delay time.Duration) []Command {
	_ = generationLifecycle.Fire(&g.State, generationCut)
	g.Attempt++
	return []Command{Resume{
		Attempt: g.Attempt,
		Origin:  g.Origin,
		From:    g.NextOffset,
		Delay:   delay,
	}}
}

func (g *Generation) handleGenerationGone(e GenerationGone) []Command {
	if e.Attempt != g.Attempt {
		return nil
	}
	if g.State == GenerationPlaced {
		return g.handleLossBeforeToken()
	}
	if !g.guards.enabled(GuardCompleteAnswer) {
		return g.end(Ran, EndDone)
	}
	return g.end(Ran, EndLost)
}

func (g *Generation) cancelForCaller() []Command {
	if g.State == GenerationWaiting {
		return g.end(g.unstartedOutcome(), EndCancelled)
	}
	outcome := Ran
	if g.NextOffset == 0 {
		outcome = Unknown
	}
	return append([]Command{CancelAttempt{Origin: g.Origin}}, g.end(outcome, EndCancelled)...)
}

func (g *Generation) releaseForCaller(code EndCode) []Command {
	if g.State != GenerationStreaming && g.State != GenerationResuming {
		return g.cancelForCaller()
	}
	return append([]Command{ReleaseStream{Origin: g.Origin}}, g.end(Ran, code)...)
}
