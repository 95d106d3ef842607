// Package watch is the platform's side of a box: it reads the configuration and
// the list of boxes, checks them, compares versions with a few peers, and gives
// both to the other processes of the box.
package watch
