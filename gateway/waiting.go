package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"dillsaddle.example/dillsaddle/admission"
	"dillsaddle.example/dillsaddle/routing"
)

const (
	// maxWakeInterval is the longest time between two evaluations of the waiting requests. Room
	// also appears without an event, when queued prompts are prefilled.
	maxWakeInterval = 25 * time.Millisecond
	// minWakeInterval is the shortest such time. Other boxes' messages come in batches of 15 ms,
	// and an evaluation takes CPU time.
	minWakeInterval = 10 * time.Millisecond
)

// wait is a request of this box that waits for room.
type wait struct {
	request   *proxiedRequest
	entry     admission.WaitingRequest
	routeName string
	since     time.Time
	ahead     int             // number of requests ahead at its begin
	result    chan waitResult // has space for the only result
}

// waitResult ends a wait: the request is sent to an engine, or has to be checked again because
// something other than the engines' room has changed.
type waitResult struct {
	endpoint routing.Endpoint
	hasRoom  bool
}

// placing is a request for which an engine with room was chosen. It is not sent yet, so that its
// memory isn't counted at the engine.
type placing struct {
	service string
	need    admission.Need
}

// waitQueue holds this box's requests that wait for room, and those known of other boxes. While a
// request waits, one goroutine evaluates all of them, in order.
//
// Its lock is held during calls of the balancer and the peers, so that these must not call it with
// their locks held, except for notify.
type waitQueue struct {
	gateway *Gateway
	rules   admission.WaitRules
	wake    chan struct{} // has space for one wake-up

	mu        sync.Mutex // guards the fields below
	list      *admission.WaitingList
	own       map[string]*wait // by ID in the list
	placing   map[*proxiedRequest]placing
	isRunning bool      // the goroutine runs
	heardAt   time.Time // last message about a wait at another box
}

func newWaitQueue(g *Gateway) *waitQueue {
	return &waitQueue{
		gateway: g,
		rules:   admission.DefaultWaitRules(),
		wake:    make(chan struct{}, 1),
		list:    admission.NewWaitingList(),
		own:     make(map[string]*wait),
		placing: make(map[*proxiedRequest]placing),
	}
}

// notify has the waiting requests evaluated soon. It takes no lock and never blocks.
func (q *waitQueue) notify() {
	select {
	case q.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// entered is the decision on a request that is about to be sent.
type entered struct {
	admission.WaitDecision
	endpoint routing.Endpoint         // for SendToRoom
	wait     *wait                    // for Wait
	entry    admission.WaitingRequest // that of the wait at its begin
}

// enter decides on a request that is about to be sent, and adds it to the queue if it has to wait.
func (q *waitQueue) enter(now time.Time, p *proxiedRequest) entered {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.Expire(now)
	entry := p.waitingEntry()
	entry.ID = q.uniqueID(p.inbound.ID)
	ahead := q.list.Ahead(now, entry)
	e, hasRoom, _ := p.pickWithRoom(now, append(q.placingNeeds(entry.Service), needs(ahead)...))
	out := entered{
		endpoint: e,
		entry:    entry,
		WaitDecision: q.rules.Decide(now, admission.WaitState{
			Request:       entry,
			Target:        p.latencyTarget(),
			HasRoom:       hasRoom,
			HasBegun:      p.hasWaited || p.call.Sends() > 0 || p.call.MayHaveRun(),
			IsStopping:    q.gateway.stopAt.Load() != nil,
			Contended:     q.list.HasUrgent(entry),
			AheadTokens:   totalTokens(ahead),
			SentPerSecond: q.gateway.balancer.SentPerSecond(now, entry.Service, entry.Priority),
		}),
	}
	switch out.Action {
	case admission.SendToRoom:
		q.addPlacing(p, e)
	case admission.Wait:
		out.wait = &wait{
			request:   p,
			entry:     entry,
			routeName: p.route.Name,
			since:     now,
			ahead:     len(ahead),
			result:    make(chan waitResult, 1),
		}
		q.add(now, out.wait)
	}
	return out
}

// add adds a waiting request, notifies the group and starts the goroutine that evaluates it.
func (q *waitQueue) add(now time.Time, w *wait) {
	q.list.Add(now, w.entry)
	q.own[w.entry.ID] = w
	w.request.hasWaited = true
	w.request.announcedWait = w.entry.ID
	q.announce(now, &w.entry)
	q.countWaiting()
	if !q.isRunning {
		q.isRunning = true
		go q.run()
	}
}

func (q *waitQueue) remove(w *wait) {
	q.list.Remove("", w.entry.ID)
	delete(q.own, w.entry.ID)
	q.countWaiting()
}

// run evaluates the waiting requests at events and at intervals until none is left.
func (q *waitQueue) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-q.wake:
		case <-timer.C:
		}
		q.gateway.checkSuspension()
		if !q.evaluateAll() {
			return
		}
		time.Sleep(minWakeInterval)
		// Boxes with jitter don't all choose at the same time, without knowing of each other.
		timer.Reset(maxWakeInterval*3/4 + rand.N(maxWakeInterval/4) - minWakeInterval)
	}
}

// evaluateAll evaluates the waiting requests in order and reports whether any are left.
func (q *waitQueue) evaluateAll() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.list.Expire(now)
	services := make(map[string]int)
	for _, w := range q.own {
		services[w.entry.Service]++
	}
	for service, waiting := range services {
		q.evaluate(now, service, waiting)
	}
	q.isRunning = len(q.own) > 0
	return q.isRunning
}

// waitClass identifies the requests with the same limits of room and the same engines to choose
// from, within a service and a configuration.
type waitClass struct {
	route    *routing.Route
	customer *routing.Customer
}

// evaluate evaluates the waiting requests of a service. Waiting is the number of this box's.
//
// Once a request finds all engines full, so would the later ones of its class, for which its room is
// reserved. They aren't tried: with 44 full engines and 300 requests that took 20% of a core.
func (q *waitQueue) evaluate(now time.Time, service string, waiting int) {
	ahead := q.placingNeeds(service)
	full := make(map[waitClass]bool)
	for _, r := range q.list.Order(now, service) {
		if waiting == 0 {
			return
		}
		if r.Box != "" {
			ahead = append(ahead, needOf(r))
			continue
		}
		waiting--
		if need, waits := q.evaluateOne(now, q.own[r.ID], ahead, full); waits || need.Endpoint != "" {
			ahead = append(ahead, need)
		}
	}
}

// evaluateOne ends a wait if the request has to be checked or finds room besides what the requests
// ahead take. It returns what the request takes, and whether it still waits. Full holds the classes
// for which all engines are full.
func (q *waitQueue) evaluateOne(now time.Time, w *wait, ahead []admission.Need, full map[waitClass]bool) (admission.Need, bool) {
	p := w.request
	if !now.Before(w.entry.LimitAt) || p.mustBeChecked() {
		q.remove(w)
		w.result <- waitResult{}
		return admission.Need{}, false
	}
	class := waitClass{
		route:    p.route,
		customer: p.customer,
	}
	if full[class] {
		return needOf(&w.entry), true
	}
	e, hasRoom, isFull := p.pickWithRoom(now, ahead)
	if !hasRoom {
		full[class] = isFull
		return needOf(&w.entry), true
	}
	q.remove(w)
	need := q.addPlacing(p, e)
	w.result <- waitResult{
		endpoint: e,
		hasRoom:  true,
	}
	return need, false
}

// addPlacing records that a request is being sent to an engine, and returns what it takes there.
func (q *waitQueue) addPlacing(p *proxiedRequest, e routing.Endpoint) admission.Need {
	need := admission.Need{
		Tokens:   p.expectedTokens(),
		Prompt:   p.inbound.PromptTokens,
		Endpoint: e.ID,
	}
	q.placing[p] = placing{
		service: p.service.Name,
		need:    need,
	}
	return need
}

// placingNeeds returns what requests take that are being sent to engines of a service.
func (q *waitQueue) placingNeeds(service string) []admission.Need {
	var all []admission.Need
	for _, p := range q.placing {
		if p.service == service {
			all = append(all, p.need)
		}
	}
	return all
}

func needOf(r *admission.WaitingRequest) admission.Need {
	return admission.Need{
		Tokens: r.Tokens,
		Prompt: r.Prompt,
	}
}

func needs(all []*admission.WaitingRequest) []admission.Need {
	out := make([]admission.Need, 0, len(all))
	for _, r := range all {
		out = append(out, needOf(r))
	}
	return out
}

func totalTokens(all []*admission.WaitingRequest) int {
	sum := 0
	for _, r := range all {
		sum += r.Tokens
	}
	return sum
}
