package model

// cloneable is a state that can be cloned before it is changed.
type cloneable[S any] interface {
	State
	clone() S
}

// collectTransitions returns the transitions from a state. It passes fill a function
// that clones the state, applies a change to the clone and records it under a label.
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
