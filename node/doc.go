// Package node is the seam at which another harness drives one node's decisions:
// events in, commands out, with nothing else of ours in the process.
//
// A Node holds a node's aggregates by name (home, versions, generation/ID,
// hold/ENDPOINT, model/NAME). Step gives one of them an event and returns the
// commands that a process would carry out. Time is the caller's.
package node
