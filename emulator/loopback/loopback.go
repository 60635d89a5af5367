// Package loopback allocates addresses on the loopback network for the processes of a
// test.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// A process uses addresses of one of networks, and there of a block of blockSize
// networks, so that two processes rarely meet.
const (
	firstNetwork, networks  = 60, 60
	blocks, blockSize       = 16, 16
	addressesPerBlockMember = 250
)

// allocated is the number of addresses that were allocated.
var allocated atomic.Int32

// FreeAddress returns a free address that it has not returned before in this process.
// Each address has an IP address of its own, because a free port on a shared one may be
// taken before the caller listens on it.
func FreeAddress() (string, error) {
	n, pid := int(allocated.Add(1)), os.Getpid()
	third := pid/networks%blocks*blockSize + n/addressesPerBlockMember%blockSize
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", firstNetwork+pid%networks, third, n%addressesPerBlockMember+1))
	if err != nil {
		return "", fmt.Errorf("find a free address: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}
