// Package lab is the maintainers' command-line tool. It checks the guarantees, runs soak
// tests, measures costs and policies, and sends load to a running fleet.
package lab
