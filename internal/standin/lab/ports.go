package lab

import (
	"errors"
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// port is an address on loopback that is kept for one instance, through all its restarts.
// A socket is bound to it that never listens. Linux lets another one that has SO_REUSEADDR,
// as Go's listeners have, bind to the same address and listen there, but gives the port to
// nobody who asks for any free one, and to no connection that goes out (ip(7), socket(7)).
// A port that was merely found free is lost now and then to whatever else on the machine
// asks for one while the instance is still starting, or is being restarted.
type port struct {
	addr string
	fd   int
}

func keepPort() (_ port, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("lab: a port for an instance: %w", err)
		}
	}()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return port{}, err
	}
	loopback := &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1), unix.Bind(fd, loopback)); err != nil {
		return port{}, errors.Join(err, unix.Close(fd))
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		return port{}, errors.Join(err, unix.Close(fd))
	}
	at4 := at.(*unix.SockaddrInet4) // as it was bound
	return port{(&net.TCPAddr{IP: at4.Addr[:], Port: at4.Port}).String(), fd}, nil
}

// Close gives the port back.
func (p port) Close() error { return unix.Close(p.fd) }
