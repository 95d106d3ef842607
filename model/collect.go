package model

// copied is a state that can be copied before it is changed.
type copied[S any] interface {
	State
	clone() S
}

// collect gathers the transitions from a state: fill is given a function that
// changes a copy of the state and keeps it under a label.
func collect[S copied[S]](from S, fill func(add func(label string, change func(S)))) []Transition {
	var all []Transition
	fill(func(label string, change func(S)) {
		next := from.clone()
		change(next)
		all = append(all, Transition{
			Label: label,
			To:    next,
		})
	})
	return all
}
