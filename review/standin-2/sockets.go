package main

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strings"
)

// maxLookups bounds the readings of the system's table of sockets, which may miss some while others end.
const maxLookups = 50

// inodeOf returns the inode of the TCP socket with the given local and remote IPv4 addresses, or "".
func inodeOf(local, remote string) string {
	wantLocal, wantRemote := tableAddress(local), tableAddress(remote)
	for range maxLookups {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return ""
		}
		for _, line := range strings.Split(string(table), "\n") {
			fields := strings.Fields(line)
			if len(fields) > 9 && fields[1] == wantLocal && fields[2] == wantRemote && fields[9] != "0" {
				return fields[9]
			}
		}
	}
	return ""
}

// tableAddress returns an address as the system's table of sockets gives it.
func tableAddress(text string) string {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return ""
	}
	ip := address.Addr().Unmap().As4()
	return strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + fmt.Sprintf(":%04X", address.Port())
}

// hasInode reports whether a process has the socket with an inode.
func hasInode(pid int, inode string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, f := range files {
		if target, err := os.Readlink(folder + "/" + f.Name()); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
