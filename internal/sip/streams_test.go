package sip

import (
	"net/netip"
	"testing"

	"otterstep/internal/sip/proxy"
)

// Guards against a request that runs twice: one for a server whose connection had ended went to the process that has replaced
// the server at the same address. It fails as not sent; everything else may use another connection to the address.
func TestReplacedServerGetsNothingOverTCP(t *testing.T) {
	const (
		ended = iota + 1
		replacement
	)
	addr := netip.MustParseAddrPort("127.0.0.1:5060")
	for _, c := range []struct {
		name string
		to   proxy.Peer
		sent bool
	}{
		{"a server's connection that has ended", proxy.Peer{Addr: addr, Conn: ended}, false},
		{"the connection itself", proxy.Peer{Addr: addr, Conn: replacement}, true},
		{"no connection so far", proxy.Peer{Addr: addr}, true},
		{"a caller's connection that has ended", proxy.Peer{Addr: addr, Conn: ended, Port: addr.Port()}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &Front{}
			all := newStreams(f, 2, nil)
			s := &stream{id: replacement, remote: addr, out: make(chan outgoing, 1), ended: make(chan struct{})}
			all.byID[s.id], all.byAddr[addr] = s, s
			all.send(c.to, "request", []byte("MESSAGE"))
			all.goroutines.Wait()
			failed := 0
			if !c.sent {
				failed = 1
			}
			if len(s.out) != 1-failed || len(f.deferred) != failed {
				t.Errorf("%d messages sent, %d failed, want %d and %d", len(s.out), len(f.deferred), 1-failed, failed)
			}
		})
	}
}
