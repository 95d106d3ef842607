package core

import "time"

// budgetSlots divides a window; counts fall out of it one slot at a time.
const budgetSlots = 20

// BudgetRules bound the sends after the first of each request, summed over all
// boxes, in any window.
type BudgetRules struct {
	Ratio  float64 // sends for each request
	Slack  int     // sends beyond the ratio, over all boxes
	Window time.Duration
	Safety float64 // the part of both that is spent, for counts that differ between boxes
}

// SharedBudget is one box's part of the budget of one service. A box spends by
// the requests that it sees itself and by its share of the slack.
type SharedBudget struct {
	rules    BudgetRules
	start    time.Time
	requests window
	spent    window
	amnesia  bool // it may have spent before its process began
	borrowed int
	lentAt   time.Time // when the last of the borrowed came
}

// borrowedLife is how long borrowed sends may be used: the lender counts them
// from when it gave them.
const borrowedLife = time.Second

// NewSharedBudget builds a budget. One that isn't new begins without slack: the
// process before it on the same box may have spent it a moment ago.
func NewSharedBudget(now time.Time, rules BudgetRules, fresh bool) *SharedBudget {
	return &SharedBudget{
		rules:   rules,
		start:   now,
		amnesia: !fresh,
	}
}

// slot numbers the slots by time since the start, never by time of day.
func (b *SharedBudget) slot(now time.Time) int64 {
	return int64(now.Sub(b.start) / (b.rules.Window / budgetSlots))
}

// CountRequest counts a request's first send.
func (b *SharedBudget) CountRequest(now time.Time) {
	b.requests.add(b.slot(now))
}

// Remaining gives how many more sends the box has itself. Boxes is how many share
// the slack.
func (b *SharedBudget) Remaining(now time.Time, boxes int) int {
	requests := float64(b.requests.sum(b.slot(now)))
	share := float64(b.rules.Slack) / float64(max(boxes, 1))
	if b.amnesia && now.Sub(b.start) < b.rules.Window {
		share = 0
	}
	return int(b.rules.Safety*(b.rules.Ratio*requests+share)) - b.spent.sum(b.slot(now))
}

// Allow takes one more send from the budget, if it has room.
func (b *SharedBudget) Allow(now time.Time, boxes int) bool {
	if b.borrowed > 0 && now.Sub(b.lentAt) < borrowedLife {
		b.borrowed--
		return true
	}
	b.borrowed = 0
	if b.Remaining(now, boxes) < 1 {
		return false
	}
	b.spent.add(b.slot(now))
	return true
}

// TransferOut gives up to some sends to another box, and keeps some for itself.
func (b *SharedBudget) TransferOut(now time.Time, boxes, sends, keep int) int {
	given := max(0, min(sends, b.Remaining(now, boxes)-keep))
	for range given {
		b.spent.add(b.slot(now))
	}
	return given
}

// TransferIn takes sends that another box gave.
func (b *SharedBudget) TransferIn(now time.Time, sends int) {
	if now.Sub(b.lentAt) >= borrowedLife {
		b.borrowed = 0
	}
	b.borrowed += sends
	b.lentAt = now
}

// HandleSuspension gives up what other boxes lent: the machine stood still, and they may have
// counted it as spent longer ago than a window.
func (b *SharedBudget) HandleSuspension() { b.borrowed = 0 }

// Available gives how many sends the box may make now, borrowed ones included.
func (b *SharedBudget) Available(now time.Time, boxes int) int {
	if now.Sub(b.lentAt) < borrowedLife {
		return b.borrowed + b.Remaining(now, boxes)
	}
	return b.Remaining(now, boxes)
}

// window counts in slots of a sliding window; it holds one slot more than the
// window, so that a count never falls out early.
type window struct {
	counts [budgetSlots + 1]int
	slot   int64
}

func (w *window) advance(slot int64) {
	if slot-w.slot > budgetSlots {
		w.counts = [budgetSlots + 1]int{}
		w.slot = slot
		return
	}
	for w.slot < slot {
		w.slot++
		w.counts[w.slot%(budgetSlots+1)] = 0
	}
}

func (w *window) add(slot int64) {
	w.advance(slot)
	w.counts[w.slot%(budgetSlots+1)]++
}

func (w *window) sum(slot int64) int {
	w.advance(slot)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}
