// Package box wires the one process of a box on the operators' platform: the
// follower of the store, the peers, the gateway, readiness, metrics, and the
// planned stop.
package box
