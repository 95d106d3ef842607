package admission

import (
	"slices"
	"time"

	"dillsaddle.example/dillsaddle/routing"
)

// reservationTTL is how long reserved memory counts if it isn't released, as when the message
// about the end of another box's move is lost.
const reservationTTL = 3 * time.Second

// reservation is memory that the move of a run will take at an engine.
type reservation struct {
	run    string
	tokens int
	at     time.Time
}

// Reserve counts the memory that a run will hold at its expected end at the engine that it is
// moved to, from the announcement of the move on.
func (b *Balancer) Reserve(now time.Time, endpoint, run string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(endpoint)
	l.dropReservation(now, run)
	l.reserved = append(l.reserved, reservation{
		run:    run,
		tokens: max(tokens, 0),
		at:     now,
	})
}

// Release gives back the memory that was reserved for a run at an engine.
func (b *Balancer) Release(now time.Time, endpoint, run string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.loads[endpoint]; l != nil {
		l.dropReservation(now, run)
	}
}

// HasRoomNow reports whether an engine can take a copy of some tokens now: it has free memory
// and a free slot, and no prompt waits for them. The growth of the runs is not counted. It is
// false without a current report.
func (b *Balancer) HasRoomNow(now time.Time, e routing.Endpoint, tokens int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(e.ID)
	if now.Sub(l.reportAt) > memoryReportTTL || l.report.Waiting > 0 {
		return false
	}
	moves, reserved := l.reservations(now)
	used := l.report.Used + reserved
	for _, c := range l.recentChanges {
		used += c.tokens
	}
	hasSlot := e.Slots <= 0 || l.report.Running+moves < e.Slots
	return hasSlot && used+tokens <= l.report.Total
}

// reservations returns the number of moves to the engine and the memory reserved for them.
func (l *endpointLoad) reservations(now time.Time) (moves, tokens int) {
	for _, r := range l.reserved {
		if now.Sub(r.at) <= reservationTTL {
			moves++
			tokens += r.tokens
		}
	}
	return moves, tokens
}

// dropReservation removes the reservation of a run, and expired ones.
func (l *endpointLoad) dropReservation(now time.Time, run string) {
	l.reserved = slices.DeleteFunc(l.reserved, func(r reservation) bool {
		return r.run == run || now.Sub(r.at) > reservationTTL
	})
}
