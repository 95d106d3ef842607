// Package admin serves metrics, health, readiness and status to operators, on an
// address separate from the callers'.
package admin
