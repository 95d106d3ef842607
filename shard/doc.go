// Package shard provides a map that is split into shards with a lock each, so
// that goroutines working on different keys rarely wait for each other.
package shard
