// Package events reads server-sent events with support for cancellation.
//
// The HTTP library's own reader starts a goroutine that closes the stream when the
// context is done, and doesn't wait for it: the goroutine may close the stream after
// the library has reused it for another request. This package waits for that
// goroutine before it returns.
package events
