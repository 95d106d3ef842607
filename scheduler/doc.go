// Package scheduler is the endpoints' side of a box: for the endpoints and keys
// that rendezvous hashing gives the box, it keeps their load, hands out memory
// leases, and keeps the records of requests that may run at most once.
package scheduler
