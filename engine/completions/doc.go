// Package completions is the worker for engines that speak the completions API
// with server-sent events, extended by priority, generation id, resume, cancel,
// load reports, cache events and fenced orders.
package completions
