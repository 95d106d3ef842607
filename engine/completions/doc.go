// Package completions is a worker for engines with a completions API that streams
// server-sent events. The API is extended by priorities, generation IDs, resuming and
// cancelling, load reports, cache events and fenced orders.
package completions
