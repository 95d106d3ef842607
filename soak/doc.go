// Package soak runs real boxes as separate processes against an emulated platform, injects
// random faults determined by a seed, and checks the guarantees against what callers and
// servers observed.
//
// It signals only processes that it started, by process ID.
package soak
