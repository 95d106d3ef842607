package core

import (
	"time"
)

func (g *Generation) lost(now time.Time, attempt int) []Command {
	if attempt != g.Attempt {
		return nil
	}
	if g.State == GenerationPlaced {
		return g.lostBeforeToken()
	}
	if g.State == GenerationWaiting {
		return nil
	}
	if g.cutAt.IsZero() || g.NextOffset > g.lastEnd {
		g.cutAt = now
		g.lastEnd = g.NextOffset
	}
	if now.Sub(g.cutAt) > g.rules.ResumeWindow {
		return append([]Command{CancelAttempt{Origin: g.Origin}}, g.end(Ran, EndLost)...)
	}
	if !g.guards.on(GuardNoSplice) && g.Repeatable {
		g.State = GenerationWaiting
		g.MayHaveRun = true
		g.Origin = Origin{}
		return []Command{PlaceAgain{Avoid: g.Origin.Endpoint}}
	}
	return g.resumeAt(g.rules.ResumeDelay)
}

func (g *Generation) lostBeforeToken() []Command {
	if !g.BytesSent {
		return g.again()
	}
	g.MayHaveRun = true
	cancel := CancelAttempt{Origin: g.Origin}
	if !g.Repeatable {
		if !g.guards.on(GuardBytesSent) {
			return append([]Command{cancel}, g.end(NotRun, EndLost)...)
		}
		return append([]Command{cancel}, g.end(Unknown, EndNotRepeatable)...)
	}
	if g.Attempt >= g.rules.Attempts {
		return append([]Command{cancel}, g.end(Unknown, EndRetriesSpent)...)
	}
	return append([]Command{cancel}, g.again()...)
}

func (g *Generation) resumeAt(delay time.Duration) []Command {
	_ = generationLifecycle.Fire(&g.State, generationCut)
	g.Attempt++
	return []Command{Resume{
		Attempt: g.Attempt,
		Origin:  g.Origin,
		From:    g.NextOffset,
		Delay:   delay,
	}}
}

func (g *Generation) gone(e GenerationGone) []Command {
	if e.Attempt != g.Attempt {
		return nil
	}
	if g.State == GenerationPlaced {
		return g.lostBeforeToken()
	}
	if !g.guards.on(GuardCompleteAnswer) {
		return g.end(Ran, EndDone)
	}
	return g.end(Ran, EndLost)
}

func (g *Generation) callerGone() []Command {
	if g.State == GenerationWaiting {
		return g.end(g.unstarted(), EndCancelled)
	}
	outcome := Ran
	if g.NextOffset == 0 {
		outcome = Unknown
	}
	return append([]Command{CancelAttempt{Origin: g.Origin}}, g.end(outcome, EndCancelled)...)
}

func (g *Generation) callerLeft(code EndCode) []Command {
	if g.State != GenerationStreaming && g.State != GenerationResuming {
		return g.callerGone()
	}
	return append([]Command{ReleaseStream{Origin: g.Origin}}, g.end(Ran, code)...)
}
