// Package settings reads the settings of a process: one JSON file a box, which
// its three processes share, each value also a flag.
package settings
