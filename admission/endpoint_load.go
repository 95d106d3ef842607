package admission

import (
	"math"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// endpointLoad is this box's view of the load of one endpoint.
type endpointLoad struct {
	running          int            // requests of this box
	reportedRequests int            // running and waiting requests by the last response header
	loadReportedAt   time.Time      // when that header was received
	startedSince     int            // requests that this box sent after it
	report           routing.Report // last memory report of the engine
	reportAt         time.Time      // when the report was made
	recentChanges    []memoryChange // not yet included in the report
	tokens           int            // memory of this box's runs at their expected ends
	copyTokens       int            // memory of the copies that this box is sending
	reserved         []reservation  // memory that moves of all boxes will take
	failures         float64        // failure score at failedAt
	failedAt         time.Time
	avoidUntil       time.Time   // end of the time without requests after a timeout
	pending          []time.Time // send times of this box's pending requests, oldest first
	activeAt         time.Time   // when this box last received data from the endpoint
	latency          float64     // average latency in seconds
	lastSendAt       time.Time
	queuedTokens     float64 // prompt tokens waiting for prefill at queuedAt
	queuedAt         time.Time
	prompts          int           // sent by the group's boxes since the endpoint became known
	promptFlow       flow          // the same, as a rate
	pacedStreams     []pacedStream // of the group's boxes
}

// memoryChange is memory allocated by a run or a copy, or freed at its end.
type memoryChange struct {
	at        time.Time
	tokens    int // negative if freed
	announced int // tokens that the boxes were notified of, to match a run's end to its start; 0 for none
}

// backlog estimates the prompt tokens waiting for prefill at an engine.
func (l *endpointLoad) backlog(now time.Time, prefillRate float64) float64 {
	return math.Max(0, l.queuedTokens-prefillRate*now.Sub(l.queuedAt).Seconds())
}

// AddPrompt counts a prompt that this box or another one sent to an engine. It returns the
// prompt tokens to be prefilled there, including this prompt.
func (b *Balancer) AddPrompt(now time.Time, id string, prompt int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.queuedTokens = l.backlog(now, b.prefillRate) + float64(prompt)
	l.queuedAt = now
	b.flow.add(now, float64(prompt))
	l.prompts++
	l.promptFlow.add(now, 1)
	b.promptFlow.add(now, 1)
	return l.queuedTokens
}

// AddRemotePrompt counts a prompt that another box sent to an engine, and the memory that
// its run is expected to hold at its end, which it returns.
func (b *Balancer) AddRemotePrompt(now time.Time, id string, prompt int) int {
	b.AddPrompt(now, id, prompt)
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := prompt + int(b.output)
	b.load(id).addChange(now, tokens, prompt)
	b.remotePlacementAt = now
	return tokens
}

// AddRemoteCopy counts the copy of a run's memory that another box sends to an engine.
func (b *Balancer) AddRemoteCopy(now time.Time, id string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).addChange(now, tokens, tokens)
}

// ObservePrefill records how long an engine took to prefill its queued tokens, ending with
// a prompt of this box.
func (b *Balancer) ObservePrefill(queuedTokens float64, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if took <= 0 || queuedTokens <= 0 {
		return
	}
	b.prefillRate += learningWeight * (queuedTokens/took.Seconds() - b.prefillRate)
}

// BeginSend counts a request sent to an endpoint: tokens is the memory that it holds at its
// expected end, announced the number of tokens that other boxes are notified of. Both are 0
// for services that are not model engines.
func (b *Balancer) BeginSend(now time.Time, id string, tokens, announced int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.running++
	l.startedSince++
	l.tokens += tokens
	l.lastSendAt = now
	l.pending = append(l.pending, now)
	l.addChange(now, tokens, announced)
}

// RunEnded counts the memory freed by a run of this box or another one. It finds the run by
// its announced tokens; held is the memory that it held at its end. Without this, engines
// look full until their next report.
func (b *Balancer) RunEnded(now time.Time, id string, announced, held int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released.add(now, float64(held))
	l := b.load(id)
	l.dropBefore(now.Add(-memoryReportTTL))
	index := slices.IndexFunc(l.recentChanges, func(c memoryChange) bool { return c.announced == announced && c.tokens > 0 })
	if index >= 0 {
		l.recentChanges = slices.Delete(l.recentChanges, index, index+1)
		return
	}
	// The report includes the run and, in memoryUse, its expected growth.
	l.recentChanges = append(l.recentChanges, memoryChange{
		at:        now,
		tokens:    -held - int(b.output/2),
		announced: announced,
	})
}

// RecordActivity records that data was received from an endpoint.
func (b *Balancer) RecordActivity(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(id).activeAt = now
}

// ActiveSince reports whether an endpoint sent anything after a time, to this box or to a
// box that forwarded its report.
func (b *Balancer) ActiveSince(at time.Time, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	return l.activeAt.After(at) || l.loadReportedAt.After(at) || l.reportAt.After(at)
}

// addChange records memory that is being allocated at an endpoint.
func (l *endpointLoad) addChange(now time.Time, tokens, announced int) {
	l.dropBefore(now.Add(-memoryReportTTL))
	if tokens > 0 {
		l.recentChanges = append(l.recentChanges, memoryChange{
			at:        now,
			tokens:    tokens,
			announced: announced,
		})
	}
}

// dropBefore removes the changes before a time.
func (l *endpointLoad) dropBefore(before time.Time) {
	l.recentChanges = slices.DeleteFunc(l.recentChanges, func(c memoryChange) bool { return c.at.Before(before) })
}

// tokensSince returns the memory allocated after a time, net of what was freed.
func (l *endpointLoad) tokensSince(after time.Time) int {
	tokens := 0
	for _, c := range l.recentChanges {
		if c.at.After(after) {
			tokens += c.tokens
		}
	}
	return max(tokens, 0)
}

// EndSend ends a request that was sent at a time and counted by BeginSend.
func (b *Balancer) EndSend(now time.Time, id string, sentAt time.Time, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	if i := slices.Index(l.pending, sentAt); i >= 0 {
		l.pending = slices.Delete(l.pending, i, i+1)
	}
	l.running--
	l.tokens -= tokens
}

// Copy counts a copy of a run's memory that this box sends to an endpoint. A negative
// number of tokens ends the copy.
func (b *Balancer) Copy(now time.Time, id string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.copyTokens += tokens
	l.addChange(now, tokens, 0)
}

// ObserveLoad records the number of requests that an endpoint reported with a response.
func (b *Balancer) ObserveLoad(now time.Time, id string, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.reportedRequests = requests
	l.startedSince = 0
	l.loadReportedAt = now
}

// Memory records an engine's memory report and when it was made, unless a newer one is known.
func (b *Balancer) Memory(at time.Time, r routing.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(r.Endpoint)
	if !at.After(l.reportAt) {
		return
	}
	l.report = r
	l.reportAt = at
	l.dropBefore(at.Add(-reportLag))
}

// ObserveLengths records the lengths of a completed generation, in tokens.
func (b *Balancer) ObserveLengths(prompt, output int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.prompt == 0 {
		b.prompt = float64(prompt)
		b.output = float64(output)
	}
	b.prompt += learningWeight * (float64(prompt) - b.prompt)
	b.output += learningWeight * (float64(output) - b.output)
}

// Succeeded records a successful response of an endpoint and its latency.
func (b *Balancer) Succeeded(now time.Time, id string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.activeAt = now
	l.latency += latencyWeight * (took.Seconds() - l.latency)
	l.failures = l.failureScore(now) / 2
	l.failedAt = now
	l.avoidUntil = time.Time{}
}

// Failed records a failure of an endpoint. An unresponsive one is avoided for a while.
func (b *Balancer) Failed(now time.Time, id string, unresponsive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(id)
	l.failures = math.Min(1, l.failureScore(now)+failureStep)
	l.failedAt = now
	if unresponsive {
		l.avoidUntil = now.Add(unresponsiveTime)
	}
}

// LoadCount returns the number of endpoints whose load is kept.
func (b *Balancer) LoadCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.loads)
}

// Forget drops the load of an endpoint that no longer exists.
func (b *Balancer) Forget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.paces {
		t.Forget(id)
	}
	b.spells.Forget(id)
	if l := b.loads[id]; l != nil && l.running <= 0 && l.copyTokens <= 0 {
		delete(b.loads, id)
	}
}
