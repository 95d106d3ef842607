// Package lab is the maintainers' load and experiment tool: proofs, decision
// tables, slopes and a load on a running fleet.
package lab
