package core

import "time"

// windowSlots is the number of slots of a window; counts expire slot by slot.
const windowSlots = 20

// BudgetRules limit the retries of a service over all boxes: the sends after the
// first one of each request, in any window.
type BudgetRules struct {
	Ratio  float64 // retries per request
	Slack  int     // retries beyond the ratio, for all boxes together
	Window time.Duration
	Safety float64 // fraction of the limit that is used, since boxes' counts differ
}

// BudgetShare is a box's place among the boxes that share a budget. All boxes must order the boxes
// in the same way.
type BudgetShare struct {
	Boxes int // number of boxes, this one included
	Rank  int // this box's position in their order, from 0
}

// of returns the box's part of a number of units. The parts of all boxes add up to the number,
// also if there are more boxes than units.
func (s BudgetShare) of(units int) int {
	boxes := max(s.Boxes, 1)
	rank := min(s.Rank, boxes-1)
	return units*(rank+1)/boxes - units*rank/boxes
}

// SharedBudget is one box's part of a service's retry budget: the retries earned by
// the requests that the box itself sends, and its share of the slack. Boxes can
// transfer unused retries to each other.
type SharedBudget struct {
	rules         BudgetRules
	start         time.Time
	requests      slidingWindow
	spent         slidingWindow
	restarted     bool // an earlier process of the box may have used the slack
	transferred   int  // retries received from other boxes and not used yet
	transferredAt time.Time
}

// transferTTL is how long received retries may be used. They have to be used soon,
// since the sender counts them from the time of the transfer.
const transferTTL = time.Second

// NewSharedBudget returns a budget. Unless fresh is set, it has no slack during its
// first window, since an earlier process of the box may just have used it.
func NewSharedBudget(now time.Time, rules BudgetRules, fresh bool) *SharedBudget {
	return &SharedBudget{
		rules:     rules,
		start:     now,
		restarted: !fresh,
	}
}

// slot returns the number of the current slot, counted by monotonic time.
func (b *SharedBudget) slot(now time.Time) int64 {
	return int64(now.Sub(b.start) / (b.rules.Window / windowSlots))
}

// CountRequest counts a request's first send.
func (b *SharedBudget) CountRequest(now time.Time) {
	b.requests.add(b.slot(now))
}

// Remaining returns the number of the box's own retries that are left, with the
// slack divided among the boxes that share the budget.
func (b *SharedBudget) Remaining(now time.Time, share BudgetShare) int {
	earned := b.rules.Safety * b.rules.Ratio * float64(b.requests.sum(b.slot(now)))
	slack := share.of(int(b.rules.Safety * float64(b.rules.Slack)))
	if b.restarted && now.Sub(b.start) < b.rules.Window {
		slack = 0
	}
	return int(earned) + slack - b.spent.sum(b.slot(now))
}

// Allow takes one retry from the budget and reports whether there was one.
func (b *SharedBudget) Allow(now time.Time, share BudgetShare) bool {
	if b.transferred > 0 && now.Sub(b.transferredAt) < transferTTL {
		b.transferred--
		return true
	}
	b.transferred = 0
	if b.Remaining(now, share) < 1 {
		return false
	}
	b.spent.add(b.slot(now))
	return true
}

// TransferOut takes up to the given number of retries from the budget for another
// box, but leaves keep of them. It returns the number taken.
func (b *SharedBudget) TransferOut(now time.Time, share BudgetShare, retries, keep int) int {
	transferred := max(0, min(retries, b.Remaining(now, share)-keep))
	for range transferred {
		b.spent.add(b.slot(now))
	}
	return transferred
}

// TransferIn adds retries received from another box.
func (b *SharedBudget) TransferIn(now time.Time, retries int) {
	if now.Sub(b.transferredAt) >= transferTTL {
		b.transferred = 0
	}
	b.transferred += retries
	b.transferredAt = now
}

// HandleSuspension discards received retries after a suspension of the machine: the
// sender may have counted them more than a window ago.
func (b *SharedBudget) HandleSuspension() { b.transferred = 0 }

// Available returns the number of retries that the box can make now, received ones
// included.
func (b *SharedBudget) Available(now time.Time, share BudgetShare) int {
	if now.Sub(b.transferredAt) < transferTTL {
		return b.transferred + b.Remaining(now, share)
	}
	return b.Remaining(now, share)
}

// slidingWindow counts events per slot. It has one more slot than the window is
// divided into, so that no count expires early.
type slidingWindow struct {
	counts [windowSlots + 1]int
	slot   int64
}

func (w *slidingWindow) advance(slot int64) {
	if slot-w.slot > windowSlots {
		w.counts = [windowSlots + 1]int{}
		w.slot = slot
		return
	}
	for w.slot < slot {
		w.slot++
		w.counts[w.slot%(windowSlots+1)] = 0
	}
}

func (w *slidingWindow) add(slot int64) {
	w.advance(slot)
	w.counts[w.slot%(windowSlots+1)]++
}

func (w *slidingWindow) sum(slot int64) int {
	w.advance(slot)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}
