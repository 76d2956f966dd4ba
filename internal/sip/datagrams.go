package sip

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"

	"otterstep/internal/sip/message"
)

// udpSocket is the UDP socket. It has the kernel queue ICMP errors with the datagrams that
// caused them (ip(7), IP_RECVERR), so that only the refused request fails, and not earlier
// ones that reached the server.
type udpSocket struct {
	*net.UDPConn
	raw  syscall.RawConn
	addr netip.AddrPort
}

// receiveBufferBytes is the requested size of the kernel's receive buffer, for times when the node
// is busy.
const receiveBufferBytes = 1 << 20

func listenUDP(at string) (*udpSocket, error) {
	addr, err := netip.ParseAddrPort(at)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	d := &udpSocket{UDPConn: conn, addr: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	// The kernel silently caps the size at its limit.
	_ = conn.SetReadBuffer(receiveBufferBytes)
	if d.raw, err = conn.SyscallConn(); err == nil {
		level, option := unix.IPPROTO_IP, unix.IP_RECVERR
		if addr.Addr().Is6() && !addr.Addr().Is4In6() {
			level, option = unix.IPPROTO_IPV6, unix.IPV6_RECVERR
		}
		var set error
		err = errors.Join(d.raw.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), level, option, 1) }), set)
	}
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("enable the socket's error queue: %w", err)
	}
	return d, nil
}

// receive waits for a datagram, or for reports of refused ones. It returns an error only if
// the socket is closed.
func (d *udpSocket) receive(buf []byte) (n int, from netip.AddrPort, refused []string, err error) {
	n, from, err = d.ReadFromUDPAddrPort(buf)
	var errno syscall.Errno
	if errors.As(err, &errno) { // the kernel reports an ICMP error at the next call of any kind
		return 0, netip.AddrPort{}, d.readErrorQueue(), nil
	}
	return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), nil, err
}

// maxSendTries bounds the retries of a send while calls return errors that belong to earlier
// datagrams.
const maxSendTries = 4

// send sends a datagram. It also returns the requests that were reported as refused
// meanwhile.
func (d *udpSocket) send(to netip.AddrPort, text []byte) (refused []string, err error) {
	for range maxSendTries {
		_, err = d.WriteToUDPAddrPort(text, to)
		if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.EHOSTUNREACH) && !errors.Is(err, syscall.ENETUNREACH) {
			return refused, err
		}
		refused = append(refused, d.readErrorQueue()...)
	}
	return refused, err
}

// readErrorQueue empties the socket's error queue and returns the client transactions of the
// requests that a host has refused.
func (d *udpSocket) readErrorQueue() (ids []string) {
	const fixed = 16 // size of struct sock_extended_err
	buf, oob := make([]byte, 4<<10), make([]byte, 512)
	// Control fails only on a closed socket, which has no errors left to read.
	_ = d.raw.Control(func(fd uintptr) {
		for {
			n, oobn, _, _, err := unix.Recvmsg(int(fd), buf, oob, unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
			if err != nil {
				return
			}
			messages, err := unix.ParseSocketControlMessage(oob[:oobn])
			if err != nil {
				continue
			}
			for _, c := range messages {
				v4 := c.Header.Level == unix.IPPROTO_IP && c.Header.Type == unix.IP_RECVERR
				v6 := c.Header.Level == unix.IPPROTO_IPV6 && c.Header.Type == unix.IPV6_RECVERR
				if !v4 && !v6 || len(c.Data) < fixed {
					continue
				}
				origin := c.Data[4]
				errno := syscall.Errno(binary.NativeEndian.Uint32(c.Data))
				if (origin == unix.SO_EE_ORIGIN_ICMP || origin == unix.SO_EE_ORIGIN_ICMP6) && errno == syscall.ECONNREFUSED {
					if id := transactionOf(buf[:n]); id != "" {
						ids = append(ids, id)
					}
				}
			}
		}
	})
	return ids
}

// transactionOf returns the client transaction of a request from the error queue, which may
// be truncated; "" for a response.
func transactionOf(text []byte) string {
	start, rest, _ := bytes.Cut(text, []byte("\r\n"))
	method, _, _ := bytes.Cut(start, []byte(" "))
	line, _, whole := bytes.Cut(rest, []byte("\r\n"))
	value, ok := bytes.CutPrefix(line, []byte("Via: "))
	if !whole || !ok || bytes.HasPrefix(start, []byte("SIP/")) {
		return ""
	}
	via, err := message.ParseVia(string(value))
	if err != nil {
		return ""
	}
	return string(method) + " " + via.Branch
}
