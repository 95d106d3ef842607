package gateway

import "strconv"

// eventPosition is an event's position relative to the events passed on before.
type eventPosition int

// The event is the next one, a repeated one, or one after missing events.
const (
	inOrder eventPosition = iota
	duplicate
	gap
)

// eventOrder checks the order of a stream's events across a continuation from a copy. IDs
// must rise; where another run continues the stream, they must continue with the same step.
type eventOrder struct {
	last        int64
	step        int64
	any         bool // whether last is set
	isAfterSeam bool // the next event is the first one from the copy
}

// classify returns an event's position by its ID. IDs that are not numbers can't be
// compared: their events count as in order, but as a gap after another run has continued
// the stream.
func (o *eventOrder) classify(id string) eventPosition {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		if o.isAfterSeam {
			return gap
		}
		return inOrder
	}
	if o.any && number <= o.last {
		return duplicate
	}
	if o.isAfterSeam && o.step > 0 && number != o.last+o.step {
		return gap
	}
	if o.any {
		o.step = number - o.last
	}
	o.any = true
	o.isAfterSeam = false
	o.last = number
	return inOrder
}

// markSeam records that the next event comes from another run.
func (o *eventOrder) markSeam() { o.isAfterSeam = true }
