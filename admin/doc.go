// Package admin serves a process's operators: metrics, health, readiness and
// status, on an address apart from the callers'.
package admin
