// Package entry is the callers' side of a box: it authenticates customers,
// admits their requests, streams tokens, continues and cancels streams, passes
// calls to services, and answers refusals at once.
package entry
