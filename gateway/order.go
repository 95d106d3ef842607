package gateway

import "strconv"

// place says where an event stands in its stream.
type place int

// An event follows the last one, was passed on before, or leaves a gap.
const (
	next place = iota
	seen
	missing
)

// order keeps a stream's events in order over a continuation: ids rise, and
// after a seam they must go on at the step that they had before it.
type order struct {
	last int64
	step int64
	any  bool // whether an id was seen
	seam bool // whether the next event comes from a copy
}

// take places an event by its id. Ids that are no numbers can't be compared;
// they pass but never over a seam.
func (o *order) take(id string) place {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		if o.seam {
			return missing
		}
		return next
	}
	if o.any && n <= o.last {
		return seen
	}
	if o.seam && o.step > 0 && n != o.last+o.step {
		return missing
	}
	if o.any {
		o.step = n - o.last
	}
	o.any = true
	o.seam = false
	o.last = n
	return next
}

// resumed says that the next event comes from a copy.
func (o *order) resumed() { o.seam = true }
