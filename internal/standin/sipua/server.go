package sipua

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/emiago/sipgo/sip"
)

// Script is a server's behavior in one INVITE transaction. It runs on its own goroutine.
type Script func(*Call)

// RingAndAnswer is a script that replies 180 and then 200.
func RingAndAnswer(c *Call) {
	c.Reply(180)
	c.Reply(200)
}

// Decline returns a script that replies 100 and then a final code.
func Decline(code int) Script {
	return func(c *Call) {
		c.Reply(100)
		c.Reply(code)
	}
}

// Server is a user agent that follows a script for each INVITE and answers other requests
// with 200, unless SetCode sets another code.
type Server struct {
	*endpoint
	notifier
	t1          time.Duration
	script      Script
	hanging     bool
	calls       map[string]*Call // INVITE transactions by branch
	counts      map[string]int   // requests by method and Call-ID, each transaction once
	seen        map[string]bool
	finals      map[string]int // codes of final responses to relayed requests, by Call-ID
	methodCodes map[string]int // answers to requests other than INVITE, by method; 200 if not set
}

// NewServer starts a server; it must be closed.
func NewServer(o Options, script Script) (*Server, error) {
	s := &Server{
		notifier: newNotifier(), t1: o.T1, script: script, calls: map[string]*Call{}, counts: map[string]int{}, seen: map[string]bool{}, finals: map[string]int{}, methodCodes: map[string]int{},
	}
	var err error
	if s.endpoint, err = listen(o, s.handleMessage); err == nil {
		s.run()
	}
	return s, err
}

// Addr returns the address on which it listens.
func (s *Server) Addr() string { return s.addr() }

// Close stops the server: its port is closed from then on.
func (s *Server) Close() {
	close(s.done)
	s.endpoint.close()
}

// SetScript sets the script for later INVITEs.
func (s *Server) SetScript(script Script) { s.update(func() { s.script = script }) }

// Hang makes the server read requests without answering, or ends that.
func (s *Server) Hang(on bool) { s.update(func() { s.hanging = on }) }

// SetCode sets the code with which requests of a method are answered; it has no effect on INVITE.
func (s *Server) SetCode(method string, code int) { s.update(func() { s.methodCodes[method] = code }) }

// Count returns the number of transactions of a method in a call; "" for all calls.
func (s *Server) Count(method, callID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[method+" "+callID]
}

// Await waits until there were n transactions of a method in a call.
func (s *Server) Await(method, callID string, n int, limit time.Duration) bool {
	return s.await(limit, func() bool { return s.counts[method+" "+callID] >= n })
}

// Call is an INVITE transaction at a server.
type Call struct {
	server       *Server
	Request      *sip.Request
	peer         peer
	tag          string
	lastResponse []byte
	final        int
	acked        bool
	cancelled    bool
}

// Reply sends a response. A final one is retransmitted until it is acknowledged, except an
// error response over a connection.
func (c *Call) Reply(code int, fields ...string) { c.ReplyAs(code, c.tag, fields...) }

// ReplyAs is Reply with a given To tag, as from one of several phones behind the server.
func (c *Call) ReplyAs(code int, tag string, fields ...string) {
	s := c.server
	if code == 100 {
		tag = ""
	}
	if code > 100 && code < 300 {
		fields = append(fields, "Contact: <sip:desk@"+s.addr()+">")
		for _, r := range headerValues(c.Request, "Record-Route") {
			fields = append(fields, "Record-Route: "+r)
		}
	}
	text := response(c.Request, code, tag, fields)
	s.update(func() {
		c.lastResponse = text
		if code >= 200 {
			c.final = code
		}
	})
	s.send(c.peer, text)
	if code < 200 || c.peer.conn != nil && code >= 300 {
		return
	}
	s.goroutines.Go(func() {
		for wait, end := s.t1, time.Now().Add(64*s.t1); time.Now().Before(end); wait = min(2*wait, 8*s.t1) {
			if s.awaitOrClosed(wait, func() bool { return c.acked }) {
				return
			}
			s.send(c.peer, text)
		}
	})
}

// Cancelled waits for the CANCEL; it returns false if none came within limit.
func (c *Call) Cancelled(limit time.Duration) bool {
	return c.server.await(limit, func() bool { return c.cancelled })
}

// Acked waits for the ACK to the final response.
func (c *Call) Acked(limit time.Duration) bool {
	return c.server.await(limit, func() bool { return c.acked })
}

// Reset resets the connection on which the INVITE came.
func (c *Call) Reset() {
	if tcp, ok := c.peer.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on an error the connection is closed without a reset, which also breaks it
		tcp.Close()
	}
}

// Bye ends the call from the server's side.
func (c *Call) Bye() {
	q := c.Request
	routes := ""
	for _, r := range headerValues(q, "Record-Route") {
		routes += "Route: " + r + "\r\n"
	}
	text := fmt.Sprintf("BYE %s SIP/2.0\r\nVia: SIP/2.0/%s %s;branch=z9hG4bK%s;rport\r\n%sMax-Forwards: 70\r\nFrom: %s;tag=%s\r\nTo: %s\r\nCall-ID: %s\r\nCSeq: 7 BYE\r\nContent-Length: 0\r\n\r\n",
		strings.Trim(headerValue(q, "Contact"), "<>"), c.server.viaTransport, c.server.addr(), uniqueName("s"), routes,
		headerValue(q, "To"), c.tag, headerValue(q, "From"), q.CallID().Value())
	c.server.send(c.peer, []byte(text))
}

// handleMessage handles a received message.
func (s *Server) handleMessage(from peer, m sip.Message) {
	q, ok := m.(*sip.Request)
	if !ok {
		r := m.(*sip.Response)
		s.update(func() {
			s.counts[fmt.Sprint(r.StatusCode, " ", r.CallID().Value())]++
			if r.StatusCode >= 200 {
				s.finals[r.CallID().Value()] = r.StatusCode
			}
		})
		return
	}
	branch, _ := q.Via().Params.Get("branch")
	id := q.CallID().Value()
	var again, play *Call
	var script Script
	silent, cancelled, code := false, false, 200
	s.update(func() {
		if k := string(q.Method) + " " + branch; !s.seen[k] {
			s.seen[k] = true
			s.counts[string(q.Method)+" "+id]++
			s.counts[string(q.Method)+" "]++
		}
		c := s.calls[branch]
		switch q.Method {
		case sip.INVITE:
			if again = c; c == nil {
				play = &Call{server: s, Request: q, peer: from, tag: uniqueName("d")}
				s.calls[branch] = play
			}
		case sip.ACK:
			for _, c := range s.calls {
				if c.Request.CallID().Value() == id && c.Request.CSeq().SeqNo == q.CSeq().SeqNo {
					c.acked = true
				}
			}
		case sip.CANCEL:
			if c != nil && c.final == 0 {
				c.cancelled, cancelled = true, true
			}
		}
		silent, script = s.hanging, s.script
		if c := s.methodCodes[string(q.Method)]; c != 0 {
			code = c
		}
	})
	switch {
	case silent || q.Method == sip.ACK:
	case play != nil:
		s.goroutines.Go(func() { script(play) })
	case again != nil:
		s.mu.Lock()
		last := again.lastResponse
		s.mu.Unlock()
		if last != nil {
			s.send(from, last)
		}
	case q.Method == sip.CANCEL && !cancelled && s.calls[branch] == nil:
		s.send(from, response(q, 481, uniqueName("c"), nil))
	default:
		s.send(from, response(q, code, tagOf(headerValue(q, "To")), nil))
	}
}

// reasons holds the reason phrases of the codes that scripts use.
var reasons = map[int]string{100: "Trying", 180: "Ringing", 200: "OK", 486: "Busy Here", 487: "Request Terminated", 503: "Service Unavailable"}

// response returns the text of a response to a request.
func response(q *sip.Request, code int, tag string, fields []string) []byte {
	var b strings.Builder
	reason := reasons[code]
	if reason == "" {
		reason = "As Scripted"
	}
	fmt.Fprintf(&b, "SIP/2.0 %d %s\r\n", code, reason)
	for _, v := range headerValues(q, "Via") {
		fmt.Fprintf(&b, "Via: %s\r\n", v)
	}
	to := headerValue(q, "To")
	if tag != "" && tagOf(to) == "" {
		to += ";tag=" + tag
	}
	fmt.Fprintf(&b, "From: %s\r\nTo: %s\r\nCall-ID: %s\r\nCSeq: %s\r\n", headerValue(q, "From"), to, q.CallID().Value(), q.CSeq().Value())
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	b.WriteString("Content-Length: 0\r\n\r\n")
	return []byte(b.String())
}

// Relay sends a request written by a script from this server's address and returns the code of
// its final response, or 0 if none came within limit.
func (c *Call) Relay(text, to string, limit time.Duration) (code int) {
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		panic(err)
	}
	c.server.send(peer{addr: addr}, []byte(text))
	c.server.await(limit, func() bool { code = c.server.finals[c.Request.CallID().Value()]; return code != 0 })
	return code
}
