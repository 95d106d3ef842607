package admission

import (
	"math"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

const (
	// loadReportTTL is how long the load in an endpoint's response header is used. After
	// that, only the requests of this box are counted.
	loadReportTTL = 2 * time.Second
	// memoryReportTTL is how long an engine's memory report is used. Engines in use are
	// queried every 0.5 s, and a run lasts some seconds.
	memoryReportTTL = 5 * time.Second

	// The costs below are added to an endpoint's load, in units of its whole capacity (slots
	// or memory). The endpoint with the lowest sum is chosen.

	// crossZoneCost is the cost of an engine in another availability zone, for the traffic
	// between zones.
	crossZoneCost = 0.03
	// callCrossZoneCost is the same for services that are not model engines, whose requests
	// are cheap compared to the traffic.
	callCrossZoneCost = 0.2
	// outsideGroupCost is the cost of an engine that is not assigned to this box's group,
	// because most of the placements there are unknown to this box.
	outsideGroupCost = 0.35
	// coldCost is the cost of an endpoint that is still warming up.
	coldCost = 0.5
	// failureDecay is the time constant of an endpoint's failure score.
	failureDecay = 3 * time.Second
	// failureCost is the cost of a failure score of 1.
	failureCost = 3.0
	// failureStep is added to the failure score at each failure; the score is at most 1.
	failureStep = 0.34
	// unresponsiveTime is how long an endpoint that didn't respond is avoided.
	unresponsiveTime = 2 * time.Second
	// overcommitCost is the cost of memory planned beyond an engine's total, where the engine
	// preempts runs and prefills them again later.
	overcommitCost = 24.0
	// unmovableCost is the cost of memory beyond what can be moved off an engine within the
	// notice before it terminates; the runs that remain are lost.
	unmovableCost = 9.0
	// scoreNoise is the range of a random cost that spreads requests over equal engines.
	scoreNoise = 0.06
	// initialPrefillRate is the assumed prefill rate before it is observed, in tokens per
	// second.
	initialPrefillRate = 8000.0
	// prefillDelayCost is the cost of one second of prefill delay. Memory use says
	// little while an engine isn't nearly full: with a much lower cost, engines that have
	// just joined are overloaded.
	prefillDelayCost = 6.0
	// suspectLatencyFactor is the multiple of an endpoint's average latency after which it is
	// suspect if it sends nothing.
	suspectLatencyFactor = 6.0
	// minCallSuspectTime is the shortest silence after which an endpoint is suspect.
	minCallSuspectTime = 250 * time.Millisecond
	// minEngineSuspectTime is the same for engines, which are silent during prefill.
	minEngineSuspectTime = 2500 * time.Millisecond
	// latencyWeight is the weight of the latest response in an endpoint's average latency.
	latencyWeight = 0.1
	// maxChoices is the number of endpoints compared for a request.
	maxChoices = 5
	// fullViewChoices is used instead if this box is notified of all placements. With
	// placements by other groups, so many choices would overload single engines.
	fullViewChoices = 20
	// blindChoices is used instead if no other box has reported a placement for blindAfter,
	// as after a restart of all boxes. They all have the same reports then, and would all
	// choose the same engine.
	blindChoices = 2
	blindAfter   = time.Second
	// outsideGroupChoices is the number of other groups' engines compared in addition, for
	// the case that all engines of the own group are busy.
	outsideGroupChoices = 2
	// learningWeight is the weight of the latest run in the average lengths and prefill rate.
	learningWeight = 0.05
)

// Balancer chooses an endpoint for each request by the estimated load of the endpoints:
// what this box sent to them, what they reported, what other boxes sent there, and which
// of the last requests failed. It is safe for concurrent use.
type Balancer struct {
	mu                sync.Mutex
	zone              string                   // of this box
	random            func() float64           // uniform in [0, 1)
	groupEngines      map[string]bool          // engines assigned to this box's group; nil for all
	loads             map[string]*endpointLoad // by endpoint ID
	prompt            float64                  // average prompt length in tokens
	prefillRate       float64                  // average prefill rate of an engine, in tokens per second
	output            float64                  // average output length in tokens
	remotePlacementAt time.Time                // when another box last reported a placement
	flow              flow                     // prompt tokens sent by the group's boxes
	released          flow                     // tokens of memory freed by the group's runs
	sent              map[sentKey]*flow        // tokens of the requests that the group's boxes sent
	promptFlow        flow                     // prompts sent by the group's boxes
	averageRate       float64                  // prompts per second and engine at averageRateAt
	averageRateAt     time.Time
	paces             map[string]*PaceTable // by service; only those with pause-sensitive streams
	streamTime        time.Duration         // average duration of pause-sensitive streams
	streamSize        float64               // average tokens owed by pause-sensitive streams
	spells            *SlowSpells           // of engines whose service reports slowdowns
	droppedUnusedAt   time.Time
}

// reportLag is how long a change of an engine's memory may take to show in its reports.
// Changes up to that long before a report are counted in addition to it.
const reportLag = 500 * time.Millisecond

// NewBalancer returns a balancer for a box in an availability zone. Random returns uniform
// numbers in [0, 1).
func NewBalancer(zone string, random func() float64) *Balancer {
	return &Balancer{
		zone:        zone,
		random:      random,
		prefillRate: initialPrefillRate,
		loads:       make(map[string]*endpointLoad),
		sent:        make(map[sentKey]*flow),
		paces:       make(map[string]*PaceTable),
		spells:      NewSlowSpells(),
		streamTime:  initialStreamTime,
	}
}

// SetGroupEngines sets the engines that are assigned to the box's group and preferred by it.
func (b *Balancer) SetGroupEngines(groupEngines map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.groupEngines = groupEngines
}

// Requirements is what a request needs of an endpoint. Fields about tokens are 0 for
// services that are not model engines.
type Requirements struct {
	Tokens        int             // memory that the run is expected to hold at its end
	Prompt        int             // prompt tokens to prefill
	Memory        int             // total memory of an engine
	Exclude       map[string]bool // endpoints that must not be chosen, by ID
	Zone          string          // preferred zone; empty for the box's own
	Shared        bool            // whether other boxes send requests to these endpoints
	MovableTokens int             // memory that can be moved off an engine before it terminates; 0 if unknown
	MaxMemoryUse  float64         // highest fraction of memory in use, including this request; 0 for no limit

	MaxPrefillDelay time.Duration // longest delay by the prompts queued at an engine; only for PickWithRoom

	// The fields below are used only for services with pause-sensitive streams.

	PauseSensitive bool          // it is a stream with a target for its pauses
	ExpectedEvents int           // events that it is expected to generate
	LatencyTarget  time.Duration // time left until its first event is due; 0 without a target
	Size           int           // tokens that its caller is owed; 0 if unknown
}

// Pick returns the endpoint with the lowest score, or false if there is none to choose.
func (b *Balancer) Pick(now time.Time, endpoints []routing.Endpoint, req Requirements) (routing.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := -1
	least := math.Inf(1)
	choices := b.choices(now, endpoints, req)
	for i, e := range choices {
		score := b.score(now, e, req)
		if score < least {
			best = i
			least = score
		}
	}
	if best < 0 {
		return routing.Endpoint{}, false
	}
	return choices[best], true
}

// choices returns a random sample of the endpoints that may take the request. All boxes
// have the same reports, so without sampling they would all choose the same endpoint.
func (b *Balancer) choices(now time.Time, endpoints []routing.Endpoint, req Requirements) []routing.Endpoint {
	var own, outside []int
	for i := range endpoints {
		id := endpoints[i].ID
		if req.Exclude[id] || (req.MaxMemoryUse > 0 && b.memoryUse(now, b.load(id), req) > req.MaxMemoryUse) {
			continue
		}
		if b.groupEngines == nil || b.groupEngines[id] {
			own = append(own, i)
		} else {
			outside = append(outside, i)
		}
	}
	var chosen []routing.Endpoint
	limit := b.choiceLimit(now, req, len(outside) > 0)
	for _, i := range append(b.sample(own, limit), b.sample(outside, outsideGroupChoices)...) {
		chosen = append(chosen, endpoints[i])
	}
	return chosen
}

// choiceLimit returns how many endpoints are compared. HasOutside is set if some of them are not
// assigned to the box's group.
func (b *Balancer) choiceLimit(now time.Time, req Requirements, hasOutside bool) int {
	switch {
	case req.Shared && now.Sub(b.remotePlacementAt) > blindAfter:
		return blindChoices
	case req.Memory > 0 && !hasOutside:
		return fullViewChoices
	}
	return maxChoices
}

// sample draws at most limit elements at random; it reorders all.
func (b *Balancer) sample(all []int, limit int) []int {
	n := min(len(all), limit)
	for i := range n {
		j := i + int(b.random()*float64(len(all)-i))
		all[i], all[j] = all[j], all[i]
	}
	return all[:n:n]
}

// score returns the cost of sending a request to an endpoint; the lowest is best.
func (b *Balancer) score(now time.Time, e routing.Endpoint, req Requirements) float64 {
	l := b.load(e.ID)
	slots := float64(max(e.Slots, 1))
	load := float64(l.running)
	if now.Sub(l.loadReportedAt) < loadReportTTL {
		load = math.Max(load, float64(l.reportedRequests+l.startedSince))
	}
	score := load / slots
	if req.Memory > 0 {
		full := b.memoryUse(now, l, req)
		score += full + overcommitCost*math.Max(0, full-1) + scoreNoise*b.random()
		if req.MovableTokens > 0 {
			score += unmovableCost * math.Max(0, full-float64(req.MovableTokens)/float64(req.Memory))
		}
		ahead := l.backlog(now, b.prefillRate)
		if b.isOutsideGroup(e.ID) {
			score += outsideGroupCost
			ahead += b.unreportedPromptTokens(now, l)
		}
		score += prefillDelayCost * ahead / b.prefillRate
		score += missCost * b.expectedMisses(now, &e, l, req, full)
	}
	if e.Zone != req.zone(b) {
		score += req.crossZoneCost()
	}
	if e.ColdAt(now) {
		score += coldCost
	}
	score += failureCost * l.failureScore(now)
	if now.Before(l.avoidUntil) || l.isSuspect(now, req) {
		score += failureCost
	}
	return score + b.random()/(4*slots)
}

// isOutsideGroup reports whether an endpoint is not assigned to the box's group.
func (b *Balancer) isOutsideGroup(id string) bool {
	return b.groupEngines != nil && !b.groupEngines[id]
}

// crossZoneCost returns the cost of an endpoint outside the preferred zone.
func (req Requirements) crossZoneCost() float64 {
	if req.Memory > 0 {
		return crossZoneCost
	}
	return callCrossZoneCost
}

// zone returns the preferred availability zone.
func (req Requirements) zone(s *Balancer) string {
	if req.Zone != "" {
		return req.Zone
	}
	return s.zone
}

// memoryUse estimates the fraction of an engine's memory that is in use with this request:
// the last report, the changes since, and the further growth of the running generations.
func (b *Balancer) memoryUse(now time.Time, l *endpointLoad, req Requirements) float64 {
	total := float64(max(req.Memory, 1))
	_, reserved := l.reservations(now)
	if now.Sub(l.reportAt) > memoryReportTTL {
		// Other boxes' placements count as well: an engine that has just joined looks
		// empty to all boxes until its first report arrives.
		used := max(l.tokens+l.copyTokens, l.tokensSince(now.Add(-memoryReportTTL)))
		return float64(used+reserved+req.Tokens) / total
	}
	if l.report.Total > 0 {
		total = float64(l.report.Total)
	}
	used := float64(l.report.Used)
	used += float64(l.report.Running) * b.output / 2
	used += float64(l.report.Waiting) * (b.prompt + b.output)
	for _, c := range l.recentChanges {
		used += float64(c.tokens)
	}
	used += float64(reserved)
	return (math.Max(used, 0) + float64(req.Tokens)) / total
}

// isSuspect reports whether an endpoint has pending requests of this box and has sent
// nothing for much longer than its average latency.
func (l *endpointLoad) isSuspect(now time.Time, req Requirements) bool {
	if len(l.pending) == 0 {
		return false
	}
	since := l.pending[0]
	if l.activeAt.After(since) {
		since = l.activeAt
	}
	limit := time.Duration(suspectLatencyFactor * l.latency * float64(time.Second))
	least := minCallSuspectTime
	if req.Memory > 0 {
		least = minEngineSuspectTime
	}
	return now.Sub(since) > max(limit, least)
}

// failureScore returns the decayed score of the last failures, from 0 to 1.
func (l *endpointLoad) failureScore(now time.Time) float64 {
	if l.failures == 0 {
		return 0
	}
	return l.failures * math.Exp(-float64(now.Sub(l.failedAt))/float64(failureDecay))
}

// load returns the load of an endpoint, creating it if needed. The caller holds mu.
func (b *Balancer) load(id string) *endpointLoad {
	l := b.loads[id]
	if l == nil {
		l = &endpointLoad{}
		b.loads[id] = l
	}
	return l
}
