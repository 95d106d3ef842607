package core

import (
	"time"
)

// handleLinkLost retries an attempt that has no token yet, and resumes a stream unless it
// has been interrupted for longer than ResumeWindow without a new token.
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

// handleLossBeforeToken places the request again if no byte of it was sent, or if it is
// repeatable and attempts remain. Otherwise it ends the stream.
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

// cancelForCaller cancels the generation and ends the stream.
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

// releaseForCaller ends the stream but lets its generation run on, so that the caller can
// resume it. A generation that hasn't streamed yet is cancelled.
func (g *Generation) releaseForCaller(code EndCode) []Command {
	if g.State != GenerationStreaming && g.State != GenerationResuming {
		return g.cancelForCaller()
	}
	return append([]Command{ReleaseStream{Origin: g.Origin}}, g.end(Ran, code)...)
}
