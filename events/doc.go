// Package events reads server-sent events whose reader may be told to stop at any
// moment.
//
// The HTTP library's own loop starts a goroutine that closes the stream when its
// context ends, and doesn't wait for it: it may close the stream after the library
// has given it to another request. Here that goroutine has ended before the loop
// returns.
package events
