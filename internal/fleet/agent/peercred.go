package agent

import (
	"fmt"
	"net"
	"os/user"
	"strconv"

	"golang.org/x/sys/unix"
)

// credentialListener accepts connections only from one user and from root, as identified by
// the kernel (SO_PEERCRED, unix(7)). The socket's mode already excludes others; this check
// also holds if the mode was changed. A connection's remote address is the user's name.
type credentialListener struct {
	net.Listener
	uid    int
	refuse func(cause string)
}

// Accept implements net.Listener.
func (l credentialListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		uid, err := peerUID(c)
		if err == nil && (uid == l.uid || uid == 0) {
			return credentialConn{c, userAddrOf(uid)}, nil
		}
		l.refuse("user")
		c.Close()
	}
}

func peerUID(c net.Conn) (uid int, err error) {
	u, ok := c.(*net.UnixConn)
	if !ok {
		return 0, fmt.Errorf("%T is not a Unix socket", c)
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

type credentialConn struct {
	net.Conn
	addr userAddr
}

// RemoteAddr implements net.Conn.
func (p credentialConn) RemoteAddr() net.Addr { return p.addr }

// userAddr is a net.Addr that names a user of this machine.
type userAddr string

func userAddrOf(uid int) userAddr {
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
