package writelimit

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unknownLength is the length of a send queue that can't be told.
const unknownLength = -1

// sendQueueLength returns how many of the bytes written to c the other side has not acknowledged.
func sendQueueLength(c net.Conn) int {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return unknownLength
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return unknownLength
	}
	length := unknownLength
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			length = n
		}
	})
	if err != nil {
		return unknownLength
	}
	return length
}
