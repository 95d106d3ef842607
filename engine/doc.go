// Package engine holds the typed messages between the entry and the workers
// that speak an engine's protocol. Each protocol has a worker in a folder of
// its own behind the same messages.
package engine
