package caller

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// UnreadBytes returns the number of bytes that the kernel has received on a connection
// and nobody has read.
func UnreadBytes(c syscall.Conn) (int, error) { return queueLength(c, unix.TIOCINQ) }

// unsentBytes returns the number of bytes that the other end has not acknowledged.
func unsentBytes(c syscall.Conn) (int, error) { return queueLength(c, unix.TIOCOUTQ) }

// queueLength asks the kernel for the length of one of a connection's queues.
func queueLength(c syscall.Conn, request uint) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("get socket: %w", err)
	}
	n := 0
	var ioctlErr error
	if err := raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), request) }); err != nil {
		return 0, fmt.Errorf("use socket: %w", err)
	}
	if ioctlErr != nil {
		return 0, fmt.Errorf("read length of queue: %w", ioctlErr)
	}
	return n, nil
}
