// Package eventlog writes a process's structured log to standard output without
// ever blocking the process: lines go through a bounded queue and a budget, and
// what is left out is counted.
package eventlog
