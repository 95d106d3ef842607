// Package process is what the mains of the box's processes share: settings,
// log, trace recorder, and the planned stop on a signal.
package process
