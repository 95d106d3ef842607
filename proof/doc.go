// Package proof runs whole fleets of real processes on this machine, causes
// failures, and checks the promises against the records of the standin fakes: tokens
// generated and delivered, effects of each request, and calls received.
package proof
