package admission

import (
	"time"

	"dillsaddle.example/dillsaddle/policy"
)

// Rules configure the admission of a model's requests.
type Rules struct {
	ExpectTokens     int                               // expected mean output length before any is observed
	MaxWait          time.Duration                     // longest time in the queue
	MaxWaiting       func(customer string) int         // most waiting requests of a customer
	Program          func(tier string) *policy.Program // policy program of a tier; nil for none
	Reserve          float64                           // fraction of the capacity kept free for each more urgent rank
	BoundedLoad      float64                           // highest load of a preferred endpoint, relative to the mean
	Aging            time.Duration                     // waiting time after which a request gains one rank; 0 for never
	MaxHeads         int                               // maximum number of customers whose first requests a dispatch tries
	ReserveMaxLength bool                              // plan each request with its maximum length
	KnownLength      func(id string) int               // output length of a request, for benchmarks; nil if unknown
	Choose           func(candidates []string) string  // replaces the choice of an endpoint, for benchmarks
	IgnoreFit        bool                              // start requests whether they fit or not, for benchmarks
}

// DefaultRules returns the default rules.
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

// Option changes the rules of a new model.
type Option func(*Rules)

// WithRules replaces the rules.
func WithRules(r Rules) Option {
	return func(into *Rules) { *into = r }
}
