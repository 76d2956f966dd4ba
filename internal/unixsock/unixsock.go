// Package unixsock opens Unix domain sockets that only their owner can access.
package unixsock

import (
	"errors"
	"io/fs"
	"net"
	"os"
)

// MaxPathLen is the longest path of a Unix socket address, in bytes; see unix(7).
const MaxPathLen = 107

// TempSuffix is appended to the path while Listen creates the socket; a path has to leave room for it.
const TempSuffix = ".new"

// Listen opens a socket at path and replaces what is there. The socket is created under a temporary
// name and renamed, so that nobody can connect before its mode is set and the previous owner keeps the
// path until then. Closing the listener does not remove the path, which may belong to another process
// by then.
func Listen(path string) (*net.UnixListener, error) {
	if err := os.Remove(path + TempSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path + TempSuffix, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false)
	if err = os.Chmod(path+TempSuffix, 0o600); err == nil {
		err = os.Rename(path+TempSuffix, path)
	}
	if err != nil {
		l.Close()
		os.Remove(path + TempSuffix)
		return nil, err
	}
	return l, nil
}
