// Package box wires up a box on the operators' platform: the store watcher, the
// peers, the gateway, the readiness, metrics and status servers, and the planned
// stop.
package box
