package gateway

import "strconv"

// eventPosition says where an event stands in its stream.
type eventPosition int

// An event follows the last one, was passed on before, or leaves a gap.
const (
	inOrder eventPosition = iota
	duplicate
	gap
)

// eventOrder keeps a stream's events in order over a continuation: ids rise, and
// after a seam they must go on at the step that they had before it.
type eventOrder struct {
	last        int64
	step        int64
	any         bool // whether an id was seen
	isAfterSeam bool // whether the next event comes from a copy
}

// classify places an event by its id. Ids that are no numbers can't be compared;
// they pass but never over a seam.
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

// markSeam says that the next event comes from a copy.
func (o *eventOrder) markSeam() { o.isAfterSeam = true }
