package process

import (
	"net/netip"
	"os"
)

// loopbackNet is the first byte of loopback addresses, and ownLoopback the lowest second byte of
// those of single processes.
const (
	loopbackNet = 127
	ownLoopback = 64
	// maxPIDBits is the number of bits of the largest process ID on Linux.
	maxPIDBits = 22
)

// Loopback returns the loopback address of this process. Ports at it are free of other processes'
// listeners and outgoing connections, so that they can be chosen before they are bound.
func Loopback() netip.Addr { return LoopbackOf(os.Getpid()) }

// LoopbackOf returns the loopback address of the process with the given ID.
func LoopbackOf(pid int) netip.Addr {
	n := uint32(pid) & (1<<maxPIDBits - 1)
	return netip.AddrFrom4([4]byte{loopbackNet, ownLoopback + byte(n>>16), byte(n >> 8), byte(n)})
}
