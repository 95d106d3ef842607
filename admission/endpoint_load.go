package admission

import (
	"math"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// endpointLoad is what a box knows of one endpoint's load.
type endpointLoad struct {
	running          int // of this box
	reportedRequests int // running and waiting, as an answer told
	loadReportedAt   time.Time
	startedSince     int // started by this box since that answer
	report           routing.Report
	reportAt         time.Time
	recentChanges    []memoryChange // of the memory, not yet in the report
	tokens           int            // of this box's runs, at their expected end
	copyTokens       int            // tokens of copies that this box sends there
	failures         float64
	failedAt         time.Time
	avoidUntil       time.Time
	pending          []time.Time // when this box's requests under way were sent
	activeAt         time.Time   // of the endpoint, on any connection of this box
	latency          float64     // seconds, learned
	lastSendAt       time.Time
	queuedTokens     float64 // tokens of prompts that wait to be read, at queueAt
	queuedAt         time.Time
}

// memoryChange is memory that a run or a copy takes, or gives back when it is over.
type memoryChange struct {
	at        time.Time
	tokens    int // below 0 when it is over
	announced int // the size by which the boxes know the run, 0 for none
}

// backlog estimates the tokens of prompts that wait at an engine.
func (l *endpointLoad) backlog(now time.Time, prefillRate float64) float64 {
	return math.Max(0, l.queuedTokens-prefillRate*now.Sub(l.queuedAt).Seconds())
}

// AddPrompt counts a prompt that this box or another one sent to an engine, and
// gives the tokens that are to be read there before its first event.
func (s *Balancer) AddPrompt(now time.Time, id string, prompt int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.queuedTokens = l.backlog(now, s.prefillRate) + float64(prompt)
	l.queuedAt = now
	s.flow.add(now, float64(prompt))
	return l.queuedTokens
}

// AddRemotePrompt counts a prompt that another box sent to an engine: it will
// take memory before a report tells.
func (s *Balancer) AddRemotePrompt(now time.Time, id string, prompt int) {
	s.AddPrompt(now, id, prompt)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(id).addChange(now, prompt+int(s.output), prompt)
	s.remotePlacementAt = now
}

// AddRemoteCopy counts a copy that another box sends to an engine.
func (s *Balancer) AddRemoteCopy(now time.Time, id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(id).addChange(now, tokens, tokens)
}

// ObservePrefill takes how long an engine took to read what waited, with a prompt of
// this box as the last.
func (s *Balancer) ObservePrefill(queuedTokens float64, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took <= 0 || queuedTokens <= 0 {
		return
	}
	s.prefillRate += learningWeight * (queuedTokens/took.Seconds() - s.prefillRate)
}

// BeginSend counts a send to an endpoint: the memory that it takes at its end, and the size
// by which the boxes know it, 0 for calls.
func (s *Balancer) BeginSend(now time.Time, id string, tokens, announced int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.running++
	l.startedSince++
	l.tokens += tokens
	l.lastSendAt = now
	l.pending = append(l.pending, now)
	l.addChange(now, tokens, announced)
}

// RunEnded takes a run's memory back, here or at another box, by the size by which the boxes
// know it; held is what it held at its end. Reports are a second old when they come round,
// and engines whose runs ended meanwhile look full.
func (s *Balancer) RunEnded(now time.Time, id string, announced, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released.add(now, float64(held))
	l := s.load(id)
	l.dropBefore(now.Add(-memoryReportTTL))
	index := slices.IndexFunc(l.recentChanges, func(c memoryChange) bool { return c.announced == announced && c.tokens > 0 })
	if index >= 0 {
		l.recentChanges = slices.Delete(l.recentChanges, index, index+1)
		return
	}
	// The report has it, with the growth that is expected of a run.
	l.recentChanges = append(l.recentChanges, memoryChange{
		at:        now,
		tokens:    -held - int(s.output/2),
		announced: announced,
	})
}

// RecordActivity notes that something came from an endpoint.
func (s *Balancer) RecordActivity(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(id).activeAt = now
}

// ActiveSince tells whether anything came from an endpoint after a time: to this box, or to
// one that told of its report.
func (s *Balancer) ActiveSince(at time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	return l.activeAt.After(at) || l.loadReportedAt.After(at) || l.reportAt.After(at)
}

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

// dropBefore drops what was placed before a time.
func (l *endpointLoad) dropBefore(before time.Time) {
	l.recentChanges = slices.DeleteFunc(l.recentChanges, func(c memoryChange) bool { return c.at.Before(before) })
}

// tokensSince gives the tokens that were placed after a time, by any box that told.
func (l *endpointLoad) tokensSince(after time.Time) int {
	tokens := 0
	for _, c := range l.recentChanges {
		if c.at.After(after) {
			tokens += c.tokens
		}
	}
	return max(tokens, 0)
}

// EndSend takes a send back that began at a time, when it is over.
func (s *Balancer) EndSend(now time.Time, id string, sentAt time.Time, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	if i := slices.Index(l.pending, sentAt); i >= 0 {
		l.pending = slices.Delete(l.pending, i, i+1)
	}
	l.running--
	l.tokens -= tokens
}

// Copy counts a copy of a run's memory at an endpoint; a negative number of
// tokens takes it back.
func (s *Balancer) Copy(now time.Time, id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.copyTokens += tokens
	l.addChange(now, tokens, 0)
}

// ObserveLoad takes the load that an endpoint told with an answer.
func (s *Balancer) ObserveLoad(now time.Time, id string, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.reportedRequests = requests
	l.startedSince = 0
	l.loadReportedAt = now
}

// Memory takes an engine's report and when it was given.
func (s *Balancer) Memory(at time.Time, r routing.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(r.Endpoint)
	if !at.After(l.reportAt) {
		return
	}
	l.report = r
	l.reportAt = at
	l.dropBefore(at.Add(-reportLag))
}

// ObserveLengths takes what a whole generation came to.
func (s *Balancer) ObserveLengths(prompt, output int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prompt == 0 {
		s.prompt = float64(prompt)
		s.output = float64(output)
	}
	s.prompt += learningWeight * (float64(prompt) - s.prompt)
	s.output += learningWeight * (float64(output) - s.output)
}

// Succeeded notes a good answer and how long it took.
func (s *Balancer) Succeeded(now time.Time, id string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.activeAt = now
	l.latency += latencyWeight * (took.Seconds() - l.latency)
	l.failures = l.failureScore(now) / 2
	l.failedAt = now
	l.avoidUntil = time.Time{}
}

// Failed notes a failure of an endpoint; silent ones get no work for a while.
func (s *Balancer) Failed(now time.Time, id string, unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.failures = math.Min(1, l.failureScore(now)+failureStep)
	l.failedAt = now
	if unresponsive {
		l.avoidUntil = now.Add(unresponsiveTime)
	}
}

// Forget drops an endpoint that is gone.
func (s *Balancer) Forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.loads[id]; l != nil && l.running <= 0 && l.copyTokens <= 0 {
		delete(s.loads, id)
	}
}
