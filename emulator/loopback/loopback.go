// Package loopback gives the processes of a test addresses on the loopback
// network.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// addresses counts the addresses that were given out.
var addresses atomic.Int32

// FreeAddress returns an address that nothing else of this process uses: each
// has an IP number of its own, since a port that was found free on a shared one
// may be taken before it is listened on.
func FreeAddress() (string, error) {
	n := int(addresses.Add(1))
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 60+os.Getpid()%60, n/250, n%250+1))
	if err != nil {
		return "", fmt.Errorf("find a free address: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}
