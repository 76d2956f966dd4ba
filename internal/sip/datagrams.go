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

// datagrams is the UDP socket. It has the kernel keep ICMP errors with what they are
// about (ip(7), IP_RECVERR), so that a refusal is held against the one request that was
// refused, and not against what reached the server before it.
type datagrams struct {
	*net.UDPConn
	raw  syscall.RawConn
	addr netip.AddrPort
}

// socketBuffer is what the kernel should hold for the socket while the node is busy.
const socketBuffer = 1 << 20

func listenUDP(at string) (*datagrams, error) {
	addr, err := netip.ParseAddrPort(at)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	d := &datagrams{UDPConn: conn, addr: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	// The kernel gives less where its limit is lower; that is no error.
	_ = conn.SetReadBuffer(socketBuffer)
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
		return nil, fmt.Errorf("have errors told: %w", err)
	}
	return d, nil
}

// receive waits for a datagram, or for word of refused ones. The error is that of a
// closed socket.
func (d *datagrams) receive(buf []byte) (n int, from netip.AddrPort, refused []string, err error) {
	n, from, err = d.ReadFromUDPAddrPort(buf)
	var told syscall.Errno
	if errors.As(err, &told) { // an ICMP error shows at whatever call comes next
		return 0, netip.AddrPort{}, d.refused(), nil
	}
	return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), nil, err
}

// sendTries bounds how often a datagram is offered while calls return errors that are
// about earlier ones.
const sendTries = 4

// send sends a datagram. It gives requests that turned out to be refused meanwhile.
func (d *datagrams) send(to netip.AddrPort, text []byte) (refused []string, err error) {
	for range sendTries {
		_, err = d.WriteToUDPAddrPort(text, to)
		if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.EHOSTUNREACH) && !errors.Is(err, syscall.ENETUNREACH) {
			return refused, err
		}
		refused = append(refused, d.refused()...)
	}
	return refused, err
}

// refused empties the socket's queue of errors and gives the transactions of those
// requests that a host has refused.
func (d *datagrams) refused() (ids []string) {
	const fixed = 16 // of struct sock_extended_err
	buf, oob := make([]byte, 4<<10), make([]byte, 512)
	// A closed socket has no errors left to tell.
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

// transactionOf names the client transaction of a request that came back, perhaps cut
// short; "" for a response.
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
