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
	notifier
	proxy    peer
	tls      *tls.Config
	t1       time.Duration
	requests map[string]*Transaction // by branch and method
	received map[string]int          // number of requests from the other side, by method and Call-ID
}

// Options configure a user agent.
type Options struct {
	Proxy     string // address of the proxy; for a Caller only
	Transport string // "udp", "tcp" or "tls"
	TLS       *tls.Config
	Addr      string // to listen on; "" for any port on loopback
	T1        time.Duration
	Loss      Loss
}

// NewCaller starts a caller; it must be closed.
func NewCaller(o Options) (*Caller, error) {
	c := &Caller{notifier: newNotifier(), t1: o.T1, requests: map[string]*Transaction{}, received: map[string]int{}}
	var err error
	if c.endpoint, err = listen(o, c.handleMessage); err != nil {
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

// Reconnect opens a new connection to the proxy and leaves the old one open.
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
	c.update(func() { c.proxy = peer{conn: conn} })
	c.serve(conn)
	return nil
}

// proxyPeer returns the current destination of requests.
func (c *Caller) proxyPeer() peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proxy
}

// Close stops the caller and waits for its goroutines.
func (c *Caller) Close() {
	close(c.done)
	c.endpoint.close()
}

// Addr returns the address on which it listens.
func (c *Caller) Addr() string { return c.addr() }

// Transaction is a request with its responses.
type Transaction struct {
	caller     *Caller
	Method     string
	CallID     string
	Branch     string
	Text       []byte // as sent
	fromHeader string // value of the From field
	seq        int
	uri        string
	routes     []string

	// Guarded by the caller's lock.
	responses []*sip.Response
}

// Request describes a request; Write fills in fields that are not set.
type Request struct {
	Method string
	URI    string
	CallID string
	From   string // with its tag
	To     string
	Seq    int
	Branch string // with the magic cookie
	Via    string // in place of the caller's own
	Fields []string
	Routes []string
	Body   string
}

// Write returns a request's text and sets the missing fields of r.
func (c *Caller) Write(r *Request) []byte {
	set := func(s *string, v string) {
		if *s == "" {
			*s = v
		}
	}
	set(&r.URI, "sip:desk@pool.invalid")
	set(&r.CallID, uniqueName("call"))
	set(&r.From, "\"A caller\" <sip:caller@"+c.addr()+">;tag="+uniqueName("a"))
	set(&r.To, "<sip:desk@pool.invalid>")
	set(&r.Branch, "z9hG4bK"+uniqueName("b"))
	set(&r.Via, "SIP/2.0/"+c.viaTransport+" "+c.addr()+";branch="+r.Branch+";rport")
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

// Send sends a request and, over UDP, retransmits it until a response comes, as in section
// 17.1 of RFC 3261.
func (c *Caller) Send(r Request) *Transaction {
	text := c.Write(&r)
	t := &Transaction{
		caller: c, Method: r.Method, CallID: r.CallID, Branch: r.Branch, Text: text,
		fromHeader: r.From, seq: r.Seq, uri: r.URI, routes: r.Routes,
	}
	c.update(func() { c.requests[t.Method+" "+t.Branch] = t })
	c.send(c.proxyPeer(), text)
	if c.packet != nil {
		c.goroutines.Go(func() { t.resend() })
	}
	return t
}

// resend implements timers A, B, E and F.
func (t *Transaction) resend() {
	c := t.caller
	for wait, end := c.t1, time.Now().Add(64*c.t1); time.Now().Before(end); {
		if c.awaitOrClosed(wait, func() bool {
			return len(t.responses) > 0 && (t.Method == "INVITE" || t.finalCode() != 0)
		}) {
			return
		}
		c.send(c.proxyPeer(), t.Text)
		if wait *= 2; t.Method != "INVITE" {
			wait = min(wait, 8*c.t1) // T2
		}
	}
}

// finalCode returns the code of the first final response, or 0. The caller holds the lock.
func (t *Transaction) finalCode() int {
	for _, r := range t.responses {
		if r.StatusCode >= 200 {
			return r.StatusCode
		}
	}
	return 0
}

// AwaitFinal waits for a final response and returns its code, or 0 if none came within limit.
func (t *Transaction) AwaitFinal(limit time.Duration) (code int) {
	t.caller.await(limit, func() bool { code = t.finalCode(); return code != 0 })
	return code
}

// AwaitFirst waits for any response and returns the code of the first, or 0 if none came within limit.
func (t *Transaction) AwaitFirst(limit time.Duration) (code int) {
	t.caller.await(limit, func() bool {
		if len(t.responses) > 0 {
			code = t.responses[0].StatusCode
		}
		return code != 0
	})
	return code
}

// AwaitCode waits for a response with a code; it returns false if none came within limit.
func (t *Transaction) AwaitCode(code int, limit time.Duration) bool {
	return t.caller.await(limit, func() bool {
		return slices.ContainsFunc(t.responses, func(r *sip.Response) bool { return r.StatusCode == code })
	})
}

// Finals returns the distinct final responses, each as code and To tag, so that
// retransmissions count once.
func (t *Transaction) Finals() (finals []string) {
	t.caller.mu.Lock()
	defer t.caller.mu.Unlock()
	for _, r := range t.responses {
		if f := fmt.Sprint(r.StatusCode, " ", tagOf(headerValue(r, "To"))); r.StatusCode >= 200 && !slices.Contains(finals, f) {
			finals = append(finals, f)
		}
	}
	return finals
}

// Responses returns all responses so far, retransmissions included.
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
	return t.caller.Send(Request{Method: "CANCEL", URI: t.uri, CallID: t.CallID, From: t.fromHeader, To: to, Seq: t.seq, Branch: t.Branch})
}

// Dialog returns a template for requests inside the dialog that the first 2xx created.
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

// dialog is Dialog for a given response. It needs no lock, since r does not change.
func (t *Transaction) dialog(r *sip.Response) Request {
	q := Request{CallID: t.CallID, From: t.fromHeader, To: headerValue(r, "To"), Seq: t.seq + 1, URI: t.uri}
	if c := headerValue(r, "Contact"); c != "" {
		q.URI = strings.Trim(c, "<>")
	}
	if q.Routes = t.routes; q.Routes == nil { // not in a dialog yet: the response sets the route
		q.Routes = headerValues(r, "Record-Route")
		slices.Reverse(q.Routes)
	}
	return q
}

// Received returns the number of requests of a method from the other side of a call.
func (c *Caller) Received(method, callID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received[method+" "+callID]
}

// AwaitReceived waits for a request of a method from the other side of a call.
func (c *Caller) AwaitReceived(method, callID string, limit time.Duration) bool {
	return c.await(limit, func() bool { return c.received[method+" "+callID] > 0 })
}

// handleMessage handles a received message.
func (c *Caller) handleMessage(from peer, m sip.Message) {
	switch m := m.(type) {
	case *sip.Request:
		c.update(func() { c.received[string(m.Method)+" "+m.CallID().Value()]++ })
		if m.Method != sip.ACK {
			c.send(from, response(m, 200, "", nil))
		}
	case *sip.Response:
		branch, _ := m.Via().Params.Get("branch")
		var t *Transaction
		c.update(func() {
			if t = c.requests[string(m.CSeq().MethodName)+" "+branch]; t != nil {
				t.responses = append(t.responses, m)
			}
		})
		if t != nil && t.Method == "INVITE" && m.StatusCode >= 200 {
			c.send(c.proxyPeer(), t.ack(m))
		}
	}
}

// ack returns the text of the ACK to a final response.
func (t *Transaction) ack(r *sip.Response) []byte {
	if r.StatusCode < 300 {
		q := t.dialog(r)
		q.Method, q.Seq = "ACK", t.seq
		return t.caller.Write(&q)
	}
	return t.caller.Write(&Request{
		Method: "ACK", URI: t.uri, CallID: t.CallID, From: t.fromHeader, To: headerValue(r, "To"), Seq: t.seq, Branch: t.Branch,
	})
}

// SendRaw sends bytes unchanged to the proxy.
func (c *Caller) SendRaw(text []byte) error {
	var err error
	if to := c.proxyPeer(); to.conn != nil {
		_, err = to.conn.Write(text)
	} else {
		_, err = c.packet.WriteTo(text, to.addr)
	}
	return err
}
