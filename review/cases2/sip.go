package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// t1 is the base time of SIP's retransmissions (RFC 3261, the table of timers).
const t1 = 500 * time.Millisecond

// sipMessage is a message of SIP: its first line, and its fields in order.
type sipMessage struct {
	line   string
	fields [][2]string // names in lower case
}

func parseSIP(text []byte) *sipMessage {
	head, _, ok := strings.Cut(string(bytes.TrimLeft(text, "\r\n")), "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	if !ok || len(lines) < 2 {
		return nil
	}
	m := &sipMessage{line: lines[0]}
	for _, l := range lines[1:] {
		name, value, _ := strings.Cut(l, ":")
		m.fields = append(m.fields, [2]string{strings.ToLower(strings.TrimSpace(name)), strings.TrimSpace(value)})
	}
	return m
}

func (m *sipMessage) all(name string) (values []string) {
	for _, f := range m.fields {
		if f[0] == name {
			values = append(values, f[1])
		}
	}
	return values
}

func (m *sipMessage) get(name string) string {
	if all := m.all(name); len(all) > 0 {
		return all[0]
	}
	return ""
}

// method is "" in a response, code 0 in a request.
func (m *sipMessage) method() string {
	if strings.HasPrefix(m.line, "SIP/") {
		return ""
	}
	method, _, _ := strings.Cut(m.line, " ")
	return method
}

func (m *sipMessage) code() int {
	if words := strings.Fields(m.line); m.method() == "" && len(words) > 1 {
		code, _ := strconv.Atoi(words[1])
		return code
	}
	return 0
}

func (m *sipMessage) callID() string { return m.get("call-id") }

func (m *sipMessage) branch() string {
	for _, p := range strings.Split(m.get("via"), ";") {
		if value, ok := strings.CutPrefix(p, "branch="); ok {
			return value
		}
	}
	return ""
}

// sipServer is a user agent server of RFC 3261 over UDP or TCP. It carries out each transaction once and absorbs
// retransmissions of it, as long as its process lives.
type sipServer struct {
	p    *play
	name string
	addr string
	// handle answers a request other than ACK and CANCEL. It runs on its own goroutine.
	handle func(*sipRequest)

	packet net.PacketConn
	listen net.Listener

	mu   sync.Mutex
	seen map[string]*sipRequest // by method and branch
	acks map[string]bool        // by Call-ID
}

// sipRequest is a request at a server.
type sipRequest struct {
	*sipMessage
	server *sipServer
	from   net.Addr
	conn   net.Conn
	tag    string

	mu   sync.Mutex
	last []byte
}

func (p *play) sipServer(name, network, addr string, handle func(*sipRequest)) *sipServer {
	s := &sipServer{p: p, name: name, handle: handle, seen: map[string]*sipRequest{}, acks: map[string]bool{}}
	var err error
	if network == "udp" {
		if s.packet, err = net.ListenPacket("udp", addr); err == nil {
			s.addr = s.packet.LocalAddr().String()
			go s.readPackets()
		}
	} else if s.listen, err = net.Listen("tcp", addr); err == nil {
		s.addr = s.listen.Addr().String()
		go s.accept()
	}
	if err != nil {
		p.impossible("server %s: %v", name, err)
	}
	return s
}

func (s *sipServer) readPackets() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := s.packet.ReadFrom(buf)
		if err != nil {
			return
		}
		if m := parseSIP(buf[:n]); m != nil {
			s.receive(&sipRequest{sipMessage: m, server: s, from: from})
		}
	}
}

func (s *sipServer) accept() {
	for {
		c, err := s.listen.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for in := bufio.NewReader(c); ; {
				m, err := readSIP(in)
				if err != nil {
					return
				}
				s.receive(&sipRequest{sipMessage: m, server: s, conn: c})
			}
		}()
	}
}

// readSIP reads a message from a stream.
func readSIP(in *bufio.Reader) (*sipMessage, error) {
	var head []byte
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return nil, err
		}
		if head = append(head, line...); string(head) == "\r\n" {
			head = nil
		}
	}
	m := parseSIP(head)
	if m == nil {
		return nil, fmt.Errorf("no message: %q", head)
	}
	length, _ := strconv.Atoi(m.get("content-length"))
	_, err := io.CopyN(io.Discard, in, int64(length))
	return m, err
}

func (s *sipServer) receive(q *sipRequest) {
	switch method := q.method(); method {
	case "":
	case "ACK":
		s.mu.Lock()
		s.acks[q.callID()] = true
		s.mu.Unlock()
	case "OPTIONS":
		q.reply(200)
	default:
		s.mu.Lock()
		key := method + " " + q.branch()
		before := s.seen[key]
		if before == nil {
			q.tag = "d" + strconv.Itoa(len(s.seen)) + s.name
			s.seen[key] = q
		}
		s.mu.Unlock()
		if before != nil {
			s.p.note("%s: %s of %s received again, absorbed", s.name, method, q.callID())
			before.mu.Lock()
			defer before.mu.Unlock()
			if before.last != nil {
				q.send(before.last)
			}
			return
		}
		s.p.note("%s: %s of %s received", s.name, method, q.callID())
		go s.handle(q)
	}
}

func (q *sipRequest) send(text []byte) {
	if q.conn != nil {
		_, _ = q.conn.Write(text)
	} else {
		_, _ = q.server.packet.WriteTo(text, q.from)
	}
}

// reply answers a request. A 200 to an INVITE is repeated until its ACK.
func (q *sipRequest) reply(code int) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "SIP/2.0 %d As Scripted\r\n", code)
	for _, v := range q.all("via") {
		fmt.Fprintf(&b, "Via: %s\r\n", v)
	}
	for _, v := range q.all("record-route") {
		fmt.Fprintf(&b, "Record-Route: %s\r\n", v)
	}
	to := q.get("to")
	if code > 100 && !strings.Contains(to, ";tag=") {
		to += ";tag=" + q.tag
	}
	scheme := ""
	if q.conn != nil {
		scheme = ";transport=tcp"
	}
	fmt.Fprintf(&b, "From: %s\r\nTo: %s\r\nCall-ID: %s\r\nCSeq: %s\r\nContact: <sip:desk@%s%s>\r\nContent-Length: 0\r\n\r\n",
		q.get("from"), to, q.callID(), q.get("cseq"), q.server.addr, scheme)
	q.mu.Lock()
	q.last = b.Bytes()
	q.mu.Unlock()
	if q.method() != "OPTIONS" {
		q.server.p.note("%s: answers %d to %s of %s", q.server.name, code, q.method(), q.callID())
	}
	q.send(b.Bytes())
	if code/100 != 2 || q.method() != "INVITE" {
		return
	}
	s := q.server
	s.mu.Lock()
	s.acks[q.callID()] = false
	s.mu.Unlock()
	go func() {
		for wait, n := t1, 0; n < 6; wait, n = min(2*wait, 8*t1), n+1 {
			time.Sleep(wait)
			s.mu.Lock()
			acked := s.acks[q.callID()]
			s.mu.Unlock()
			if acked {
				return
			}
			q.send(b.Bytes())
		}
	}()
}

// caller is a user agent client over UDP.
type caller struct {
	p     *play
	conn  net.PacketConn
	proxy net.Addr

	mu      sync.Mutex
	waiting map[string]chan *sipMessage // by branch
	number  int
}

func (p *play) caller(proxy string) *caller {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		p.impossible("%v", err)
	}
	at, err := net.ResolveUDPAddr("udp", proxy)
	if err != nil {
		p.impossible("%v", err)
	}
	c := &caller{p: p, conn: conn, proxy: at, waiting: map[string]chan *sipMessage{}}
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := conn.ReadFrom(buf)
			if err != nil {
				continue // an ICMP error of an earlier datagram
			}
			m := parseSIP(bytes.Clone(buf[:n]))
			if m == nil || m.code() == 0 {
				continue
			}
			c.mu.Lock()
			to := c.waiting[m.branch()]
			c.mu.Unlock()
			select {
			case to <- m:
			default:
			}
		}
	}()
	return c
}

// dialog is what a caller knows of a call.
type dialog struct {
	id, tag, to, target string
	fields              string // further fields of its requests
	routes              []string
	seq                 int
}

func (c *caller) newDialog(prefix string) *dialog {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	return &dialog{id: prefix + strconv.Itoa(c.number), tag: "c" + strconv.Itoa(c.number), to: "<sip:desk@hotel.invalid>", target: "sip:desk@hotel.invalid"}
}

// text returns a request of a dialog.
func (c *caller) text(d *dialog, method, branch string, seq int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s SIP/2.0\r\nVia: SIP/2.0/UDP %s;branch=%s;rport\r\n", method, d.target, c.conn.LocalAddr(), branch)
	for _, r := range d.routes {
		fmt.Fprintf(&b, "Route: %s\r\n", r)
	}
	fmt.Fprintf(&b, "Max-Forwards: 70\r\nFrom: <sip:hotel@caller.invalid>;tag=%s\r\nTo: %s\r\nCall-ID: %s\r\nCSeq: %d %s\r\nContact: <sip:hotel@%s>\r\n%sContent-Length: 0\r\n\r\n",
		d.tag, d.to, d.id, seq, method, c.conn.LocalAddr(), d.fields)
	return b.Bytes()
}

// request sends a request of a dialog and returns the code of its final response, or 0 if none came within wait.
func (c *caller) request(d *dialog, method string, wait time.Duration) int {
	d.seq++
	branch := fmt.Sprintf("z9hG4bK%s-%s-%d-%d", d.id, method, d.seq, time.Now().UnixNano())
	responses := make(chan *sipMessage, 64)
	c.mu.Lock()
	c.waiting[branch] = responses
	c.mu.Unlock()
	text := c.text(d, method, branch, d.seq)
	c.p.note("caller: sends %s of %s, CSeq %d", method, d.id, d.seq)
	send := func(text []byte) { _, _ = c.conn.WriteTo(text, c.proxy) }
	send(text)
	end := time.After(wait)
	interval := t1
	again := time.NewTimer(interval)
	defer again.Stop()
	for {
		select {
		case r := <-responses:
			c.p.note("caller: receives %d to %s of %s", r.code(), method, d.id)
			if method == "INVITE" && r.code() < 200 {
				again.Stop() // RFC 3261: a provisional response ends the repeats of an INVITE
			}
			if r.code() < 200 {
				continue
			}
			if method == "INVITE" {
				c.acknowledge(d, branch, r)
			}
			return r.code()
		case <-again.C:
			c.p.note("caller: sends %s of %s again", method, d.id)
			send(text)
			if interval *= 2; method != "INVITE" {
				interval = min(interval, 8*t1)
			}
			again.Reset(interval)
		case <-end:
			c.p.note("caller: no final response to %s of %s within %v", method, d.id, wait)
			return 0
		}
	}
}

// acknowledge sends the ACK to a final response to an INVITE. A 200 makes the dialog.
func (c *caller) acknowledge(d *dialog, branch string, r *sipMessage) {
	to := *d
	to.to = r.get("to")
	if r.code() < 300 {
		if d.routes == nil {
			d.routes = r.all("record-route")
			slices.Reverse(d.routes)
		}
		d.to = to.to
		if contact := strings.Trim(r.get("contact"), "<>"); contact != "" {
			d.target = contact
		}
		to = *d
		branch += "a"
	}
	_, _ = c.conn.WriteTo(c.text(&to, "ACK", branch, d.seq), c.proxy)
}
