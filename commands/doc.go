// Package commands implements the operators' command line. Each command has a file
// and registers its name, flags and completion.
package commands
