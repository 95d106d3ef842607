// Package node lets a test harness drive the decisions of one box without the rest of
// the program: events go in, commands come out.
//
// A Node holds the box's aggregates, which are the state machines of the packages core
// and admission. They have the names that traces use: home (the claim owner), versions,
// generation/ID, hold/ENDPOINT (the ownership of a slot) and model/NAME. Step applies an
// event to one of them and returns the commands that a process would execute. The caller
// controls the time.
package node
