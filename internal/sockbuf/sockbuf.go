// Package sockbuf asks the system how many bytes a socket's buffers hold.
package sockbuf

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Unread returns how many bytes were received and not read yet; 0 if that can't be told. A nil socket has none.
func Unread(socket syscall.RawConn) int {
	if socket == nil {
		return 0
	}
	count := 0
	err := socket.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			count = n
		}
	})
	if err != nil {
		return 0
	}
	return count
}
