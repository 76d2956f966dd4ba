package lab

import (
	"errors"
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// reservedPort is a loopback address that stays reserved for one instance through all its restarts. A socket is bound
// to it that never listens. Linux lets another socket with SO_REUSEADDR, which Go sets on listeners, bind to the same
// address and listen there, but does not assign the port to sockets that ask for any free one, nor to outgoing
// connections (ip(7), socket(7)). A port that is merely free when it is picked may be taken by another process on the
// machine while the instance starts or restarts.
type reservedPort struct {
	addr string
	fd   int
}

func reservePort() (_ reservedPort, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("lab: cannot reserve a port for an instance: %w", err)
		}
	}()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return reservedPort{}, err
	}
	loopback := &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1), unix.Bind(fd, loopback)); err != nil {
		return reservedPort{}, errors.Join(err, unix.Close(fd))
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		return reservedPort{}, errors.Join(err, unix.Close(fd))
	}
	at4 := at.(*unix.SockaddrInet4) // the socket is AF_INET
	return reservedPort{(&net.TCPAddr{IP: at4.Addr[:], Port: at4.Port}).String(), fd}, nil
}

// Close releases the port.
func (p reservedPort) Close() error { return unix.Close(p.fd) }
