package core

import (
	"maps"
	"time"
)

const (
	// reservationTTL is how long a reservation lasts if its end isn't announced; a leaving
	// engine is gone by then.
	reservationTTL = 3 * time.Second
	// targetRefusalTTL is how long an engine that refused a copy gets no other one. Engines
	// report their memory twice a second and free room for a run about once.
	targetRefusalTTL = 300 * time.Millisecond
)

// MoveReservation is the engine that a run of a leaving engine is moved to.
type MoveReservation struct {
	Run     string
	Target  string // the engine's ID
	Tokens  int    // memory of the run at its expected end
	Started bool   // the move has started
}

// MoveReservations holds the reservations of all boxes of a group. Copies to one engine queue
// on its link, so that two leaving engines whose runs go to the same target delay each other.
type MoveReservations struct {
	byRun    map[string]timedReservation
	refusals map[string]time.Time // when an engine last refused a copy, by its ID
}

type timedReservation struct {
	MoveReservation
	at      time.Time
	yielded bool // its run was asked to choose another target
}

// NewMoveReservations returns an empty set of reservations.
func NewMoveReservations() *MoveReservations {
	return &MoveReservations{
		byRun:    make(map[string]timedReservation),
		refusals: make(map[string]time.Time),
	}
}

// Reserve records a reservation; it replaces an earlier one of the same run.
func (m *MoveReservations) Reserve(now time.Time, r MoveReservation) {
	m.dropExpired(now)
	m.byRun[r.Run] = timedReservation{
		MoveReservation: r,
		at:              now,
		yielded:         m.byRun[r.Run].yielded,
	}
}

// Get returns the reservation of a run, if there is one.
func (m *MoveReservations) Get(run string) (MoveReservation, bool) {
	r, ok := m.byRun[run]
	return r.MoveReservation, ok
}

// Release drops the reservation of a run and returns it, if there is one.
func (m *MoveReservations) Release(run string) (MoveReservation, bool) {
	r, ok := m.byRun[run]
	delete(m.byRun, run)
	return r.MoveReservation, ok
}

// Refuse records that an engine refused a copy.
func (m *MoveReservations) Refuse(now time.Time, target string) { m.refusals[target] = now }

// Refused reports whether an engine has refused a copy recently.
func (m *MoveReservations) Refused(now time.Time, target string) bool {
	at, ok := m.refusals[target]
	return ok && now.Sub(at) < targetRefusalTTL
}

// Busy reports whether an engine is the target of another run than the given one.
func (m *MoveReservations) Busy(now time.Time, target, run string) bool {
	for _, r := range m.byRun {
		if r.Target == target && r.Run != run && !r.expired(now) {
			return true
		}
	}
	return false
}

// Yields returns the runs with a reservation that must choose another target, since the given
// reservation has the same one and comes first: all boxes decide the same whatever the order
// in which their messages arrive. A move that has started doesn't yield. Each run yields once, or
// the boxes would announce one target after the other where there are fewer targets than moves.
func (m *MoveReservations) Yields(now time.Time, to MoveReservation) []string {
	var runs []string
	for _, r := range m.byRun {
		if r.Target != to.Target || r.Run == to.Run || r.Started || r.yielded || r.expired(now) {
			continue
		}
		if to.Started || to.Run < r.Run {
			r.yielded = true
			m.byRun[r.Run] = r
			runs = append(runs, r.Run)
		}
	}
	return runs
}

func (r timedReservation) expired(now time.Time) bool { return now.Sub(r.at) > reservationTTL }

func (m *MoveReservations) dropExpired(now time.Time) {
	maps.DeleteFunc(m.byRun, func(_ string, r timedReservation) bool { return r.expired(now) })
	maps.DeleteFunc(m.refusals, func(_ string, at time.Time) bool { return now.Sub(at) >= targetRefusalTTL })
}

// TargetState is what a box knows of an engine that a run may be moved to.
type TargetState struct {
	SameZone  bool // the engine is in the zone of the run's engine; copies to others take longer
	RoomAtEnd bool // it has room for the run at its expected end
	RoomNow   bool // it has room for the run now, though not for its growth and that of others
	Busy      bool // another run is moved to it
}

// TargetClass is the order in which engines are chosen as targets; lower ones come first.
type TargetClass int

// The classes of targets. A run goes to another zone only if no engine of its own has room: that
// takes twice as long, while waiting for another copy takes less than that. It goes to an engine
// without room for its end only if there is no other.
const (
	RoomInZone TargetClass = iota
	BusyInZone
	RoomElsewhere
	TightInZone
	TightElsewhere
	NoRoomKnown
)

// Class returns the class of a target.
func (t TargetState) Class() TargetClass {
	switch {
	case t.RoomAtEnd && !t.Busy && t.SameZone:
		return RoomInZone
	case t.RoomAtEnd && !t.Busy:
		return RoomElsewhere
	case t.RoomAtEnd && t.SameZone:
		return BusyInZone
	case t.RoomNow && !t.Busy && t.SameZone:
		return TightInZone
	case t.RoomNow && !t.Busy:
		return TightElsewhere
	}
	return NoRoomKnown
}
