// Package process implements the main function shared by the processes of a box:
// settings, log, trace recorder, and a planned stop on a signal.
package process
