// Package loopback allocates addresses on the loopback network for the processes of a
// test.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// allocated is the number of addresses that were allocated.
var allocated atomic.Int32

// FreeAddress returns a free address that it has not returned before in this process.
// Each address has an IP address of its own, because a free port on a shared one may be
// taken before the caller listens on it.
func FreeAddress() (string, error) {
	n := int(allocated.Add(1))
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 60+os.Getpid()%60, n/250, n%250+1))
	if err != nil {
		return "", fmt.Errorf("find a free address: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}
