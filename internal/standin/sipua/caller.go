package sipua

import (
	"crypto/tls"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/emiago/sipgo/sip"
)

// Caller is a user agent that sends requests through a proxy.
type Caller struct {
	*endpoint
	bell
	proxy    peer
	tls      *tls.Config
	t1       time.Duration
	requests map[string]*Transaction // by branch and method
	asked    map[string]int          // requests from the other side, by method and Call-ID
}

// Options are what a user agent is made of.
type Options struct {
	Proxy     string // a Caller's
	Transport string // "udp", "tcp" or "tls"
	TLS       *tls.Config
	Addr      string // to listen at; "" for any
	T1        time.Duration
	Loss      Loss
}

// NewCaller makes a caller; Close ends it.
func NewCaller(o Options) (*Caller, error) {
	c := &Caller{bell: newBell(), t1: o.T1, requests: map[string]*Transaction{}, asked: map[string]int{}}
	var err error
	if c.endpoint, err = listen(o, c.take); err != nil {
		return nil, err
	}
	c.tls = o.TLS
	defer c.run()
	if o.Transport == "udp" {
		addr, err := net.ResolveUDPAddr("udp", o.Proxy)
		if err != nil {
			return nil, err
		}
		c.proxy = peer{addr: addr}
		return c, nil
	}
	return c, c.Reconnect(o.Proxy)
}

// Reconnect makes a new connection to the proxy and leaves the old one open.
func (c *Caller) Reconnect(proxy string) error {
	var conn net.Conn
	var err error
	if c.tls != nil {
		conn, err = tls.Dial("tcp", proxy, c.tls)
	} else {
		conn, err = net.Dial("tcp", proxy)
	}
	if err != nil {
		return err
	}
	c.ring(func() { c.proxy = peer{conn: conn} })
	c.serve(conn)
	return nil
}

// to gives where requests go now.
func (c *Caller) to() peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proxy
}

// Close ends it.
func (c *Caller) Close() {
	close(c.done)
	c.endpoint.close()
}

// Addr is where it listens.
func (c *Caller) Addr() string { return c.addr() }

// Transaction is a request with all that came of it.
type Transaction struct {
	caller *Caller
	Method string
	CallID string
	Branch string
	Text   []byte // as sent
	from   string // of the request's fields
	seq    int
	uri    string
	routes []string

	// Under the caller's lock.
	responses []*sip.Response
}

// Request describes a request; what is left out is made up.
type Request struct {
	Method string
	URI    string
	CallID string
	From   string // with its tag
	To     string
	Seq    int
	Branch string // with the cookie
	Via    string // instead of one of the caller's own
	Fields []string
	Routes []string
	Body   string
}

// Write gives a request's text and puts what was made up into r.
func (c *Caller) Write(r *Request) []byte {
	set := func(s *string, v string) {
		if *s == "" {
			*s = v
		}
	}
	set(&r.URI, "sip:desk@pool.invalid")
	set(&r.CallID, name("call"))
	set(&r.From, "\"A caller\" <sip:caller@"+c.addr()+">;tag="+name("a"))
	set(&r.To, "<sip:desk@pool.invalid>")
	set(&r.Branch, "z9hG4bK"+name("b"))
	set(&r.Via, "SIP/2.0/"+c.name+" "+c.addr()+";branch="+r.Branch+";rport")
	if r.Seq == 0 {
		r.Seq = 1
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s SIP/2.0\r\nVia: %s\r\n", r.Method, r.URI, r.Via)
	for _, route := range r.Routes {
		fmt.Fprintf(&b, "Route: %s\r\n", route)
	}
	fmt.Fprintf(&b, "Max-Forwards: 70\r\nFrom: %s\r\nTo: %s\r\nCall-ID: %s\r\nCSeq: %d %s\r\n", r.From, r.To, r.CallID, r.Seq, r.Method)
	fmt.Fprintf(&b, "Contact: <sip:caller@%s>\r\n", c.addr())
	for _, f := range r.Fields {
		b.WriteString(f + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	return []byte(b.String())
}

// Send sends a request and sends it again until something comes, as section 17.1 of RFC
// 3261 has it.
func (c *Caller) Send(r Request) *Transaction {
	text := c.Write(&r)
	t := &Transaction{
		caller: c, Method: r.Method, CallID: r.CallID, Branch: r.Branch, Text: text,
		from: r.From, seq: r.Seq, uri: r.URI, routes: r.Routes,
	}
	c.ring(func() { c.requests[t.Method+" "+t.Branch] = t })
	c.send(c.to(), text)
	if c.packet != nil {
		c.all.Go(func() { t.resend() })
	}
	return t
}

// resend is timers A, B, E and F.
func (t *Transaction) resend() {
	c := t.caller
	for wait, end := c.t1, time.Now().Add(64*c.t1); time.Now().Before(end); {
		if c.over(wait, func() bool {
			return len(t.responses) > 0 && (t.Method == "INVITE" || t.final() != 0)
		}) {
			return
		}
		c.send(c.to(), t.Text)
		if wait *= 2; t.Method != "INVITE" {
			wait = min(wait, 8*c.t1) // T2
		}
	}
}

// final gives the first final response's code; it needs the lock.
func (t *Transaction) final() int {
	for _, r := range t.responses {
		if r.StatusCode >= 200 {
			return r.StatusCode
		}
	}
	return 0
}

// Final waits for a final response and gives its code; 0 if none came within limit.
func (t *Transaction) Final(limit time.Duration) (code int) {
	t.caller.await(limit, func() bool { code = t.final(); return code != 0 })
	return code
}

// First waits for any response and gives its code; 0 if none came within limit.
func (t *Transaction) First(limit time.Duration) (code int) {
	t.caller.await(limit, func() bool {
		if len(t.responses) > 0 {
			code = t.responses[0].StatusCode
		}
		return code != 0
	})
	return code
}

// Heard waits for a response of a code.
func (t *Transaction) Heard(code int, limit time.Duration) bool {
	return t.caller.await(limit, func() bool {
		return slices.ContainsFunc(t.responses, func(r *sip.Response) bool { return r.StatusCode == code })
	})
}

// Finals gives each different final response once, as code and To tag: a
// retransmission is no second one.
func (t *Transaction) Finals() (finals []string) {
	t.caller.mu.Lock()
	defer t.caller.mu.Unlock()
	for _, r := range t.responses {
		if f := fmt.Sprint(r.StatusCode, " ", tagOf(value(r, "To"))); r.StatusCode >= 200 && !slices.Contains(finals, f) {
			finals = append(finals, f)
		}
	}
	return finals
}

// Responses gives all responses so far, repeats too.
func (t *Transaction) Responses() []*sip.Response {
	t.caller.mu.Lock()
	defer t.caller.mu.Unlock()
	return slices.Clone(t.responses)
}

// Cancel sends a CANCEL for an INVITE.
func (t *Transaction) Cancel() *Transaction {
	m := string(t.Text)
	var to string
	for line := range strings.SplitSeq(m, "\r\n") {
		if v, ok := strings.CutPrefix(line, "To: "); ok {
			to = v
		}
	}
	return t.caller.Send(Request{Method: "CANCEL", URI: t.uri, CallID: t.CallID, From: t.from, To: to, Seq: t.seq, Branch: t.Branch})
}

// Dialog gives what requests inside the dialog of the first 2xx need.
func (t *Transaction) Dialog() Request {
	t.caller.mu.Lock()
	defer t.caller.mu.Unlock()
	for _, r := range t.responses {
		if r.StatusCode/100 == 2 {
			return t.dialog(r)
		}
	}
	return Request{}
}

// dialog needs no lock: r does not change.
func (t *Transaction) dialog(r *sip.Response) Request {
	q := Request{CallID: t.CallID, From: t.from, To: value(r, "To"), Seq: t.seq + 1, URI: t.uri}
	if c := value(r, "Contact"); c != "" {
		q.URI = strings.Trim(c, "<>")
	}
	if q.Routes = t.routes; q.Routes == nil { // set by the dialog's first answer
		q.Routes = values(r, "Record-Route")
		slices.Reverse(q.Routes)
	}
	return q
}

// Asked tells how many requests of a method came from the other side of a call.
func (c *Caller) Asked(method, callID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked[method+" "+callID]
}

// AwaitAsked waits for such a request.
func (c *Caller) AwaitAsked(method, callID string, limit time.Duration) bool {
	return c.await(limit, func() bool { return c.asked[method+" "+callID] > 0 })
}

// take handles what comes in.
func (c *Caller) take(from peer, m sip.Message) {
	switch m := m.(type) {
	case *sip.Request:
		c.ring(func() { c.asked[string(m.Method)+" "+m.CallID().Value()]++ })
		if m.Method != sip.ACK {
			c.send(from, response(m, 200, "", nil))
		}
	case *sip.Response:
		branch, _ := m.Via().Params.Get("branch")
		var t *Transaction
		c.ring(func() {
			if t = c.requests[string(m.CSeq().MethodName)+" "+branch]; t != nil {
				t.responses = append(t.responses, m)
			}
		})
		if t != nil && t.Method == "INVITE" && m.StatusCode >= 200 {
			c.send(c.to(), t.ack(m))
		}
	}
}

// ack writes the ACK to a final response.
func (t *Transaction) ack(r *sip.Response) []byte {
	if r.StatusCode < 300 {
		q := t.dialog(r)
		q.Method, q.Seq = "ACK", t.seq
		return t.caller.Write(&q)
	}
	return t.caller.Write(&Request{
		Method: "ACK", URI: t.uri, CallID: t.CallID, From: t.from, To: value(r, "To"), Seq: t.seq, Branch: t.Branch,
	})
}

// Raw sends bytes as they are.
func (c *Caller) Raw(text []byte) error {
	var err error
	if to := c.to(); to.conn != nil {
		_, err = to.conn.Write(text)
	} else {
		_, err = c.packet.WriteTo(text, to.addr)
	}
	return err
}
