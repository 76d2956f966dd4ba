package proxy

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"otterstep/internal/membudget"
	"otterstep/internal/sip/message"
)

// A flood of calls from spoofed sources fills only the part of the table meant for requests
// outside dialogs. Requests inside a dialog still get their part. All state is freed at the end.
func TestSpoofedFloodIsBounded(t *testing.T) {
	w := newSimulation(t, 1, 0)
	w.m.options.Limits = Limits{Transactions: 200, PerSource: 10}
	quiet := &discardHost{simulation: w}
	w.m.options.Host = quiet
	receive := func(n int, method, extra string) {
		text := fmt.Appendf(nil, "%s sip:desk@pool SIP/2.0\r\nVia: SIP/2.0/UDP 10.0.0.1;rport;branch=z9hG4bK%d%s\r\nFrom: <sip:a@b>;tag=t%d\r\nTo: <sip:desk@pool>%s\r\nCall-ID: flood%d\r\nCSeq: 1 %s\r\n\r\n",
			method, n, method, n, extra, n, method)
		q, err := message.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		// Many IPv6 addresses, with 40 requests from each /64.
		addr := [16]byte{0x20, 1, 0xd, 0xb8, 0, 0, byte(n / 40), 0, 0, 0, 0, 0, 0, 0, 0, byte(n)}
		w.m.Receive(w.now, Peer{Transport: UDP, Addr: netip.AddrPortFrom(netip.AddrFrom16(addr), 5060)}, q, nil)
	}
	for n := range 4000 {
		receive(n, message.Invite, "")
		if len(w.m.exchanges) > 150 || len(w.m.sources) > 100 || len(w.m.timers) > 150 {
			t.Fatalf("%d exchanges, %d sources, %d timers", len(w.m.exchanges), len(w.m.sources), len(w.m.timers))
		}
	}
	if c := w.m.counts.Refused; c["source"] == 0 || c["transactions"] == 0 || len(w.m.exchanges) != 150 {
		t.Errorf("%d exchanges, refused %v", len(w.m.exchanges), c)
	}
	// A call that was established before the flood.
	user := w.m.options.Signer.Sign(w.claims(2), "flood9999", "t9999")
	for n := range 100 {
		text := fmt.Appendf(nil, "INFO sip:desk@pool SIP/2.0\r\nVia: SIP/2.0/UDP 10.0.0.1;rport;branch=z9hG4bKi%d\r\nRoute: <sip:%s@127.0.0.1:5060;lr>\r\nFrom: <sip:a@b>;tag=t9999\r\nTo: <sip:desk@pool>;tag=d\r\nCall-ID: flood9999\r\nCSeq: %d INFO\r\n\r\n", n, user, n+2)
		q, err := message.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		w.m.Receive(w.now, Peer{Transport: UDP, Addr: netip.MustParseAddrPort("127.0.0.8:5060")}, q, nil)
	}
	if n := quiet.sent["INFO"]; n != 50 || len(w.m.exchanges) != 200 {
		t.Errorf("%d requests inside a dialog were forwarded, %d exchanges; %+v", n, len(w.m.exchanges), w.m.counts)
	}
	for due := w.m.Due(); due > 0; due = w.m.Due() {
		w.now = due
		w.m.Tick(due)
	}
	if n := len(w.m.exchanges) + len(w.m.branches) + len(w.m.sources) + len(w.m.timers); n != 0 {
		t.Errorf("%d exchanges, branches, sources and timers left behind", n)
	}
}

// Guards against a flood of calls that takes more memory than the node has: calls beyond the budget are refused, requests inside
// dialogs have a part of their own, and in the end all is given back.
func TestMemoryBoundsRequests(t *testing.T) {
	w := newSimulation(t, 1, 0)
	w.m.options.Host = &discardHost{simulation: w}
	w.m.options.Limits = Limits{Transactions: 10_000, PerSource: 10_000}
	budget := membudget.New(100 * openBytes)
	w.m.options.Memory = budget.Account("calls", 1)
	user := w.m.options.Signer.Sign(w.claims(2), "call", "t")
	receive := func(n int, method, route, tag string) {
		text := fmt.Appendf(nil, "%s sip:desk@pool SIP/2.0\r\nVia: SIP/2.0/UDP 10.0.0.1;rport;branch=z9hG4bK%s%d\r\n%sFrom: <sip:a@b>;tag=t\r\nTo: <sip:desk@pool>%s\r\nCall-ID: call\r\nCSeq: %d %s\r\n\r\n",
			method, method, n, route, tag, n+1, method)
		q, err := message.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		w.m.Receive(w.now, Peer{Transport: UDP, Addr: netip.MustParseAddrPort("127.0.0.8:5060")}, q, nil)
	}
	for n := range 200 {
		receive(n, message.Invite, "", "")
	}
	if n := len(w.m.exchanges); n != 75 || w.m.counts.Refused["memory"] != 125 {
		t.Errorf("%d calls, refused %v", n, w.m.counts.Refused)
	}
	for n := range 50 {
		receive(n, "INFO", "Route: <sip:"+user+"@127.0.0.1:5060;lr>\r\n", ";tag=d")
	}
	if n := len(w.m.exchanges); n != 100 || budget.Inspect()[0].Held != 100*openBytes {
		t.Errorf("%d requests, %+v", n, budget.Inspect())
	}
	for due := w.m.Due(); due > 0; due = w.m.Due() {
		w.now = due
		w.m.Tick(due)
	}
	if u := budget.Inspect()[0]; u.Held != 0 || len(w.m.exchanges) != 0 {
		t.Errorf("left behind: %+v, %d requests", u, len(w.m.exchanges))
	}
}

// discardHost discards all messages and counts requests by method.
type discardHost struct {
	*simulation
	sent map[string]int
}

func (h *discardHost) Transmit(_ Peer, _ string, text []byte) {
	m, err := message.Parse(text)
	if err != nil && bytes.Contains(text, []byte("\r\nWarning: 399 ")) {
		return // it echoes fields of the malformed request that it answers
	}
	if err != nil {
		h.t.Fatalf("the Machine wrote a message that can't be parsed: %v\n%s", err, text)
	}
	if h.sent == nil {
		h.sent = map[string]int{}
	}
	h.sent[m.Method]++
}
func (h *discardHost) Submit(RoutingRequest) {}
func (h *discardHost) Withdraw(uint64)       {}
func (h *discardHost) Finish(uint64, End)    {}

// For any datagrams in any order the Machine does not panic, writes messages that can be
// parsed, keeps to its limits, and holds no state after all timers have run.
func FuzzReceive(f *testing.F) {
	invite := "INVITE sip:desk@pool SIP/2.0\r\nVia: SIP/2.0/UDP 10.0.0.1;rport;branch=z9hG4bKa\r\nFrom: <sip:a@b>;tag=t\r\nTo: <sip:desk@pool>\r\nCall-ID: c\r\nCSeq: 1 INVITE\r\n\r\n"
	f.Add([]byte(invite), []byte("SIP/2.0 200 OK\r\nVia: SIP/2.0/UDP 127.0.0.1:5060;branch=BRANCH\r\nFrom: <sip:a@b>;tag=t\r\nTo: <sip:desk@pool>;tag=x\r\nCall-ID: c\r\nCSeq: 1 INVITE\r\nContact: <sip:x@y>\r\n\r\n"), byte(0))
	f.Add([]byte(invite), []byte("CANCEL sip:desk@pool SIP/2.0\r\nVia: SIP/2.0/UDP 10.0.0.1;rport;branch=z9hG4bKa\r\nFrom: <sip:a@b>;tag=t\r\nTo: <sip:desk@pool>\r\nCall-ID: c\r\nCSeq: 1 CANCEL\r\n\r\n"), byte(1))
	f.Add([]byte(invite), []byte("SIP/2.0 503 Full\r\nVia: SIP/2.0/UDP 127.0.0.1:5060;branch=BRANCH\r\nFrom: <sip:a@b>;tag=t\r\nTo: <sip:desk@pool>;tag=x\r\nCall-ID: c\r\nCSeq: 1 INVITE\r\nRecord-Route: <sip:a;lr>\r\n\r\n"), byte(2))
	f.Fuzz(func(t *testing.T, first, second []byte, order byte) {
		w := newSimulation(t, uint64(order), 0)
		w.m.options.Limits = Limits{Transactions: 8, PerSource: 4}
		w.m.options.Host = &discardHost{simulation: w}
		from := Peer{Transport: UDP, Addr: netip.MustParseAddrPort("127.0.0.3:9000")}
		receive := func(text []byte) {
			// A response must carry a branch ID that the Machine generated.
			for id := range w.m.branches {
				if m, err := message.Parse(text); err == nil && !m.IsRequest() && m.Via.Branch == "BRANCH" {
					m.Via.Branch = w.m.branches[id].id
					w.m.Receive(w.now, from, m, nil)
				}
			}
			m, err := message.Parse(text)
			w.m.Receive(w.now, from, m, err)
		}
		for n := range 12 {
			w.now += time.Duration(order) * 10 * time.Millisecond
			w.m.Tick(w.now)
			if n%3 == 0 {
				receive(first)
			} else {
				receive(second)
			}
			for id := range w.m.exchanges {
				w.m.Attempt(w.now, id, uint64(n)*100+id, 1, serverPeer(1), func() bool { return true })
				break
			}
			if len(w.m.exchanges) > 8 || len(w.m.sources) > 8 {
				t.Fatalf("%d exchanges, %d sources", len(w.m.exchanges), len(w.m.sources))
			}
		}
		for range 10_000 {
			due := w.m.Due()
			if due == 0 {
				break
			}
			w.now = max(w.now, due)
			w.m.Tick(w.now)
		}
		if len(w.m.exchanges)+len(w.m.branches)+len(w.m.timers) > 0 {
			t.Fatalf("left behind: %+v", w.m.Inspect())
		}
	})
}

// A request with Max-Forwards 0 is answered 483; one without the field is forwarded with 70.
func TestMaxForwards(t *testing.T) {
	w := newSimulation(t, 1, 0)
	quiet := &discardHost{simulation: w}
	w.m.options.Host = quiet
	for n, hops := range []string{"Max-Forwards: 0\r\n", "Max-Forwards: 1\r\n", ""} {
		q, err := message.Parse(fmt.Appendf(nil, "INVITE sip:a@b SIP/2.0\r\nVia: SIP/2.0/UDP 10.0.0.1;branch=z9hG4bK%d\r\n%sFrom: <sip:a@b>;tag=t\r\nTo: <sip:a@b>\r\nCall-ID: hops%d\r\nCSeq: 1 INVITE\r\n\r\n", n, hops, n))
		if err != nil {
			t.Fatal(err)
		}
		w.m.Receive(w.now, Peer{Transport: UDP, Addr: netip.MustParseAddrPort("127.0.0.8:5060")}, q, nil)
		if n > 0 {
			w.m.Attempt(w.now, w.m.lastID, uint64(n), 1, serverPeer(1), func() bool { return true })
		}
	}
	var left []int
	for _, b := range w.m.branches {
		left = append(left, b.request.MaxForwards())
	}
	slices.Sort(left)
	if w.m.counts.Finals[483] != 1 || !slices.Equal(left, []int{0, 70}) {
		t.Errorf("final responses %v, Max-Forwards of forwarded requests %v", w.m.counts.Finals, left)
	}
}
