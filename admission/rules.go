package admission

import (
	"time"

	"dillsaddle.example/dillsaddle/policy"
)

// Rules are the bounds and programs by which a model's requests are admitted.
type Rules struct {
	ExpectTokens     int
	MaxWait          time.Duration
	MaxWaiting       func(customer string) int
	Program          func(tier string) *policy.Program
	Reserve          float64       // part of memory kept from each lower rank
	BoundedLoad      float64       // an affine endpoint may carry so much of the mean
	Aging            time.Duration // a request that waited so long gains one rank
	MaxHeads         int           // heads tried before a pump gives up
	ReserveMaxLength bool          // plan with the full allowed length (a baseline)
	KnownLength      func(id string) int
	Choose           func(candidates []string) string
	IgnoreFit        bool
}

// DefaultRules gives the rules that the processes use.
func DefaultRules() Rules {
	return Rules{
		ExpectTokens: 256,
		MaxWait:      30 * time.Second,
		MaxWaiting:   func(string) int { return 512 },
		Program:      func(string) *policy.Program { return nil },
		Reserve:      0.03,
		BoundedLoad:  1.25,
		Aging:        20 * time.Second,
		MaxHeads:     8,
	}
}

// Option changes the rules of a model's admission.
type Option func(*Rules)

// WithRules replaces the rules.
func WithRules(r Rules) Option {
	return func(into *Rules) { *into = r }
}
