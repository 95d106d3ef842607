// Package scheduler manages the endpoints and claims that rendezvous hashing
// assigns to a box. It polls the load of the endpoints, grants memory leases on
// them, and keeps the claim records of requests that may run at most once.
package scheduler
