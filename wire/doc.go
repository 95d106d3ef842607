// Package wire exchanges messages between the product's processes as CBOR over
// WebSocket. Each message is a typed struct in an envelope that holds the sender's
// versions.
//
// A connection carries requests, answers and pushes in both directions. An answer is
// matched to its request by an ID that is unique on the connection; an answer that
// arrives after its request was abandoned is dropped and counted.
package wire
