package backend

import "syscall"

// idleConnUsable reports whether an idle connection is open and has received
// nothing while it was idle. Such bytes belong to no request.
func idleConnUsable(k *conn) bool {
	if k.r.Buffered() > 0 {
		return false
	}
	raw, err := k.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
