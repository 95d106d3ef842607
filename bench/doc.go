// Package bench measures the decisions under load: it replays seeded arrivals in
// virtual time through several boxes' admission against the stand-in engine's
// batching, and tells stall time, preemptions, time between tokens and goodput
// by tier.
//
// It models no machine and no network but for a delay, a cut and a lag.
package bench
