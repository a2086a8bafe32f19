package tcp

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// SendQueue returns how many bytes, the end of the sending direction counted as one, were
// written to a TCP connection and are not acknowledged by the other side yet.
func SendQueue(conn syscall.Conn) (int, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var size int
	if controlErr := raw.Control(func(fd uintptr) { size, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); controlErr != nil {
		return 0, controlErr
	}
	return size, err
}
