// Package engine defines the messages between the entry and the workers that speak an
// engine's protocol. Each protocol has a worker in a package of its own.
package engine
