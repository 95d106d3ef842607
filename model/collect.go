package model

// cloneable is a state that can be copied before it is changed.
type cloneable[S any] interface {
	State
	clone() S
}

// collectTransitions gathers the transitions from a state: fill is given a function that
// changes a copy of the state and keeps it under a label.
func collectTransitions[S cloneable[S]](from S, fill func(add func(label string, change func(S)))) []Transition {
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
