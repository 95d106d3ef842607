// Package wire carries the messages between the system's own processes:
// WebSocket with CBOR, one typed struct a message, each with the sender's
// versions.
//
// A connection carries requests, answers and pushes in both directions. An
// answer is matched to its request by a number that is never used twice on a
// connection; an answer to a request that was given up on is dropped and
// counted.
package wire
