// Package eventlog writes a process's structured log to standard output without
// ever blocking the process. Lines pass a rate limit and a bounded queue; lines that
// don't fit are dropped and counted.
package eventlog
