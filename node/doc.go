// Package node lets a test harness drive one node's decisions without the rest of
// the program: events go in, commands come out.
//
// A Node holds the aggregates of a node by the names that traces use: home (the claim
// owner), versions, generation/ID, hold/ENDPOINT (an ownership) and model/NAME. Step
// applies an event to one of them and returns the commands that a process would
// execute. The caller controls the time.
package node
