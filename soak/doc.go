// Package soak runs real boxes as processes of their own before an emulated
// platform, injects faults from outside by a seed, and checks the promises by
// what callers and servers saw.
//
// It ends only processes that it started, by their ids.
package soak
