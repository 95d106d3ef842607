// Package commands holds the operators' command line, one file a command, each
// of which registers itself with its name, flags and completion.
package commands
