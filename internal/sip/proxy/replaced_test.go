package proxy

import (
	"fmt"
	"net/netip"
	"testing"

	"otterstep/internal/sip/message"
)

// Guards against work that runs at a process which was taken for the one before it at the same address: once a list without
// the server has come, its requests are not sent again, while its response is still passed on.
func TestReplacedServerGetsNoRetransmission(t *testing.T) {
	for _, method := range []string{"INVITE", "MESSAGE"} {
		for name, list := range map[string]map[uint64]Peer{
			"replaced": {7: serverPeer(1)}, "moved": {1: serverPeer(2)}, "gone": {}, "still there": {1: serverPeer(1), 2: serverPeer(2)},
		} {
			t.Run(method+" "+name, func(t *testing.T) {
				w := newSimulation(t, 1, 0)
				h := &recordingHost{simulation: w}
				w.m.options.Host = h
				w.m.SetServers(map[uint64]Peer{1: serverPeer(1)})
				q, err := message.Parse(fmt.Appendf(nil, "%s sip:desk@pool SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.3:9000;branch=z9hG4bKa\r\nFrom: <sip:a@b>;tag=t\r\nTo: <sip:desk@pool>\r\nCall-ID: c\r\nCSeq: 1 %s\r\n\r\n", method, method))
				if err != nil {
					t.Fatal(err)
				}
				w.m.Receive(w.now, Peer{Transport: UDP, Addr: netip.MustParseAddrPort("127.0.0.3:9000")}, q, nil)
				w.m.Attempt(w.now, w.m.lastID, 1, 1, serverPeer(1), func() bool { return true })
				w.m.SetServers(list)
				b := w.m.branches[h.branch]
				until := w.now + 4*timing.T1
				for due := w.m.Due(); due > 0 && due < until; due = w.m.Due() {
					w.now = due
					w.m.Tick(due)
				}
				if again := b.transmissions > 1; again != (name == "still there") {
					t.Errorf("the request was sent %d times", b.transmissions)
				}
				w.m.Receive(w.now, serverPeer(1), h.sent.Response(486, "s"), nil)
				if len(h.finals) != 1 || h.finals[0] != 486 {
					t.Errorf("final responses %v, want the server's", h.finals)
				}
			})
		}
	}
}
