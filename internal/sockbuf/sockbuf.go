// Package sockbuf asks the system what a socket's receive buffer holds.
package sockbuf

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// openWindow is a receive window in which a peer sends whatever it has: it is larger than any segment.
const openWindow = 128 << 10

// State is what is known of the bytes that a peer has sent on a connection.
type State struct {
	Unread  int   // bytes that were received and not read yet
	Arrived int64 // bytes that were received since the connection began; 0 if that is not known
	// WindowOpen reports that the peer may send more: whatever it has written has been sent.
	WindowOpen bool
}

// Inspect returns the state of a socket; the zero State if it is nil or can't be asked.
func Inspect(socket syscall.RawConn) (s State) {
	if socket == nil {
		return s
	}
	_ = socket.Control(func(fd uintptr) { // an error leaves the zero State
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			s.Unread = n
		}
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			s.Arrived = int64(info.Bytes_received)
			s.WindowOpen = info.Rcv_wnd >= openWindow
		}
	})
	return s
}

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
