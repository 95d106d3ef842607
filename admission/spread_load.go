package admission

import (
	"math"
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// endpointLoad is what a box knows of one endpoint's load.
type endpointLoad struct {
	running  int // of this box
	answered int // running and waiting, as an answer told
	answerAt time.Time
	since    int // started by this box since that answer
	memory   routing.Report
	memoryAt time.Time
	recent   []change // of the memory, not yet in the report
	tokens   int      // of this box's runs, at their expected end
	copies   int      // tokens of copies that this box sends there
	failures float64
	failedAt time.Time
	silentTo time.Time
	pending  []time.Time // when this box's requests under way were sent
	heard    time.Time   // of the endpoint, on any connection of this box
	latency  float64     // seconds, learned
	used     time.Time
	queue    float64 // tokens of prompts that wait to be read, at queueAt
	queueAt  time.Time
}

// change is memory that a run or a copy takes, or gives back when it is over.
type change struct {
	at     time.Time
	tokens int // below 0 when it is over
	told   int // the size by which the boxes know the run, 0 for none
}

// waiting estimates the tokens of prompts that wait at an engine.
func (l *endpointLoad) waiting(now time.Time, rate float64) float64 {
	return math.Max(0, l.queue-rate*now.Sub(l.queueAt).Seconds())
}

// AddPrompt counts a prompt that this box or another one sent to an engine, and
// gives the tokens that are to be read there before its first event.
func (s *Balancer) AddPrompt(now time.Time, id string, prompt int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.queue = l.waiting(now, s.rate) + float64(prompt)
	l.queueAt = now
	s.flow.add(now, float64(prompt))
	return l.queue
}

// AddRemotePrompt counts a prompt that another box sent to an engine: it will
// take memory before a report tells.
func (s *Balancer) AddRemotePrompt(now time.Time, id string, prompt int) {
	s.AddPrompt(now, id, prompt)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(id).begin(now, prompt+int(s.output), prompt)
	s.heard = now
}

// AddRemoteCopy counts a copy that another box sends to an engine.
func (s *Balancer) AddRemoteCopy(now time.Time, id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(id).begin(now, tokens, tokens)
}

// ObservePrefill takes how long an engine took to read what waited, with a prompt of
// this box as the last.
func (s *Balancer) ObservePrefill(queue float64, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took <= 0 || queue <= 0 {
		return
	}
	s.rate += learnWeight * (queue/took.Seconds() - s.rate)
}

// BeginSend counts a send to an endpoint: the memory that it takes at its end, and the size
// by which the boxes know it, 0 for calls.
func (s *Balancer) BeginSend(now time.Time, id string, tokens, told int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.running++
	l.since++
	l.tokens += tokens
	l.used = now
	l.pending = append(l.pending, now)
	l.begin(now, tokens, told)
}

// RunEnded takes a run's memory back, here or at another box, by the size by which the boxes
// know it; held is what it held at its end. Reports are a second old when they come round,
// and engines whose runs ended meanwhile look full.
func (s *Balancer) RunEnded(now time.Time, id string, told, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over.add(now, float64(held))
	l := s.load(id)
	l.forget(now.Add(-memoryLife))
	begun := slices.IndexFunc(l.recent, func(c change) bool { return c.told == told && c.tokens > 0 })
	if begun >= 0 {
		l.recent = slices.Delete(l.recent, begun, begun+1)
		return
	}
	// The report has it, with the growth that is expected of a run.
	l.recent = append(l.recent, change{
		at:     now,
		tokens: -held - int(s.output/2),
		told:   told,
	})
}

// RecordActivity notes that something came from an endpoint.
func (s *Balancer) RecordActivity(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(id).heard = now
}

// ActiveSince tells whether anything came from an endpoint after a time: to this box, or to
// one that told of its report.
func (s *Balancer) ActiveSince(at time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	return l.heard.After(at) || l.answerAt.After(at) || l.memoryAt.After(at)
}

func (l *endpointLoad) begin(now time.Time, tokens, told int) {
	l.forget(now.Add(-memoryLife))
	if tokens > 0 {
		l.recent = append(l.recent, change{
			at:     now,
			tokens: tokens,
			told:   told,
		})
	}
}

// forget drops what was placed before a time.
func (l *endpointLoad) forget(before time.Time) {
	l.recent = slices.DeleteFunc(l.recent, func(c change) bool { return c.at.Before(before) })
}

// placedSince gives the tokens that were placed after a time, by any box that told.
func (l *endpointLoad) placedSince(after time.Time) int {
	tokens := 0
	for _, c := range l.recent {
		if c.at.After(after) {
			tokens += c.tokens
		}
	}
	return max(tokens, 0)
}

// EndSend takes a send back that began at a time, when it is over.
func (s *Balancer) EndSend(now time.Time, id string, begun time.Time, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	if i := slices.Index(l.pending, begun); i >= 0 {
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
	l.copies += tokens
	l.begin(now, tokens, 0)
}

// ObserveLoad takes the load that an endpoint told with an answer.
func (s *Balancer) ObserveLoad(now time.Time, id string, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.answered = busy
	l.since = 0
	l.answerAt = now
}

// Memory takes an engine's report and when it was given.
func (s *Balancer) Memory(at time.Time, r routing.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(r.Endpoint)
	if !at.After(l.memoryAt) {
		return
	}
	l.memory = r
	l.memoryAt = at
	l.forget(at.Add(-reportLag))
}

// ObserveLengths takes what a whole generation came to.
func (s *Balancer) ObserveLengths(prompt, output int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prompt == 0 {
		s.prompt = float64(prompt)
		s.output = float64(output)
	}
	s.prompt += learnWeight * (float64(prompt) - s.prompt)
	s.output += learnWeight * (float64(output) - s.output)
}

// Succeeded notes a good answer and how long it took.
func (s *Balancer) Succeeded(now time.Time, id string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.heard = now
	l.latency += latencyWeight * (took.Seconds() - l.latency)
	l.failures = l.record(now) / 2
	l.failedAt = now
	l.silentTo = time.Time{}
}

// Failed notes a failure of an endpoint; silent ones get no work for a while.
func (s *Balancer) Failed(now time.Time, id string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.load(id)
	l.failures = math.Min(1, l.record(now)+failureStep)
	l.failedAt = now
	if silent {
		l.silentTo = now.Add(silentTime)
	}
}

// Forget drops an endpoint that is gone.
func (s *Balancer) Forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.known[id]; l != nil && l.running <= 0 && l.copies <= 0 {
		delete(s.known, id)
	}
}
