package agent

import (
	"fmt"
	"net"
	"os/user"
	"strconv"

	"golang.org/x/sys/unix"
)

// peers lets in connections of one user and of root, as the kernel tells who is at
// the other end (SO_PEERCRED, unix(7)). The socket's mode keeps others off already;
// this holds where it was changed. A connection's remote address is the user's name.
type peers struct {
	net.Listener
	uid    int
	refuse func(cause string)
}

// Accept implements net.Listener.
func (l peers) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		uid, err := peerOf(c)
		if err == nil && (uid == l.uid || uid == 0) {
			return peer{c, userOf(uid)}, nil
		}
		l.refuse("user")
		c.Close()
	}
}

func peerOf(c net.Conn) (uid int, err error) {
	u, ok := c.(*net.UnixConn)
	if !ok {
		return 0, fmt.Errorf("%T is no Unix socket", c)
	}
	raw, err := u.SyscallConn()
	if err != nil {
		return 0, err
	}
	var cred *unix.Ucred
	if e := raw.Control(func(fd uintptr) { cred, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); e != nil {
		return 0, e
	}
	if err != nil {
		return 0, err
	}
	return int(cred.Uid), nil
}

type peer struct {
	net.Conn
	addr userAddr
}

// RemoteAddr implements net.Conn.
func (p peer) RemoteAddr() net.Addr { return p.addr }

// userAddr is a user of this machine as an address.
type userAddr string

func userOf(uid int) userAddr {
	id := strconv.Itoa(uid)
	if u, err := user.LookupId(id); err == nil {
		id = u.Username
	}
	return userAddr("user:" + id)
}

// Network implements net.Addr.
func (userAddr) Network() string { return "unix" }

// String implements net.Addr.
func (a userAddr) String() string { return string(a) }
