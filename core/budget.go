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
}

// NewSharedBudget builds a budget.
func NewSharedBudget(now time.Time, rules BudgetRules) *SharedBudget {
	return &SharedBudget{
		rules: rules,
		start: now,
	}
}

// slot numbers the slots by time since the start, never by time of day.
func (b *SharedBudget) slot(now time.Time) int64 {
	return int64(now.Sub(b.start) / (b.rules.Window / budgetSlots))
}

// Request counts a request's first send.
func (b *SharedBudget) Request(now time.Time) {
	b.requests.add(b.slot(now))
}

// Allow takes one more send from the budget, if it has room. Boxes is how many
// share the slack.
func (b *SharedBudget) Allow(now time.Time, boxes int) bool {
	requests := float64(b.requests.sum(b.slot(now)))
	share := float64(b.rules.Slack) / float64(max(boxes, 1))
	if float64(b.spent.sum(b.slot(now))+1) > b.rules.Safety*(b.rules.Ratio*requests+share) {
		return false
	}
	b.spent.add(b.slot(now))
	return true
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
