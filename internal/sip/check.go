package sip

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"

	"otterstep/internal/sip/message"
	"otterstep/internal/sip/transaction"
)

// CheckTarget validates a target for Check, such as "udp:127.0.0.1:5060" or
// "tcp:127.0.0.1:5060".
func CheckTarget(target string) error {
	_, _, err := checkTarget(target)
	return err
}

func checkTarget(target string) (network, addr string, err error) {
	network, addr, _ = strings.Cut(target, ":")
	if _, err := netip.ParseAddrPort(addr); err != nil || network != "udp" && network != "tcp" {
		return "", "", fmt.Errorf("%q is not a target such as \"udp:127.0.0.1:5060\"", target)
	}
	return network, addr, nil
}

// Check sends an OPTIONS request to a SIP front (RFC 3261 section 11). It returns an error
// unless the front answers 200 before ctx ends.
func Check(ctx context.Context, target string) error {
	network, addr, err := checkTarget(target)
	if err != nil {
		return err
	}
	conn, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return fmt.Errorf("SIP: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	id := rand.Text()
	at := conn.LocalAddr().String()
	q := &message.Message{Method: message.Options, URI: "sip:" + addr}
	q.Fields = []message.Field{
		{Name: "via", Value: fmt.Sprintf("SIP/2.0/%s %s;branch=z9hG4bK%s;rport", strings.ToUpper(network), at, id)},
		{Name: "max-forwards", Value: "0"}, {Name: "from", Value: "<sip:check@" + at + ">;tag=" + id},
		{Name: "to", Value: "<sip:" + addr + ">"}, {Name: "call-id", Value: id}, {Name: "cseq", Value: "1 " + message.Options},
	}
	text := q.Encode()
	if _, err := conn.Write(text); err != nil {
		return fmt.Errorf("SIP: %w", err)
	}
	if network == "udp" {
		ended := make(chan struct{})
		defer close(ended)
		go func() { // timer E
			for wait := transaction.DefaultTiming().T1; ; wait *= 2 {
				select {
				case <-time.After(wait):
					_, _ = conn.Write(text) // an error shows at the read
				case <-ended:
					return
				}
			}
		}()
	}
	r, err := readResponse(conn, network)
	switch {
	case err != nil:
		return fmt.Errorf("SIP: no answer to OPTIONS: %w", err)
	case r.CallID != id:
		return errors.New("SIP: response has the Call-ID of another request")
	case r.Code != 200:
		return fmt.Errorf("SIP: OPTIONS was answered %d %s", r.Code, r.Reason)
	}
	return nil
}

func readResponse(conn net.Conn, network string) (*message.Message, error) {
	if network == "tcp" {
		return message.NewReader(conn, 64<<10).Next()
	}
	buf := make([]byte, 64<<10)
	n, err := conn.Read(buf)
	if err != nil {
		return nil, err
	}
	return message.Parse(buf[:n])
}
