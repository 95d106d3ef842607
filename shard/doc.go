// Package shard holds state split into parts, each under its own lock, so that
// many threads work on different keys without waiting for each other.
package shard
