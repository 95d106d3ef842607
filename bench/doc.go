// Package bench compares admission and placement policies under load. It replays seeded
// arrivals in virtual time through the admission of several boxes and simulated engines,
// and reports stalls, preemptions, time between tokens and goodput by tier.
//
// The network is modelled only by a fixed delay, a partition and delayed load reports.
package bench
