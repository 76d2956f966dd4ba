// Package sipua imitates the two ends of SIP calls on loopback: callers and call
// desks' servers that follow scripts, lose datagrams on command, and count what they
// see. They read messages with a library that the node does not use, so that both
// sides can't share a mistake.
package sipua

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/emiago/sipgo/sip"
)

// Loss decides what becomes of a datagram on its way: how many copies go on (0 loses
// it), and whether it waits for the next one to overtake it. key names a message, the
// same for each of its transmissions; out tells sent from received ones.
type Loss func(out bool, key string) (copies int, late bool)

// LoseFirst loses the first n transmissions of each message, whichever way it goes.
func LoseFirst(n int) Loss {
	var mu sync.Mutex
	seen := map[string]int{}
	return func(out bool, key string) (int, bool) {
		mu.Lock()
		defer mu.Unlock()
		key = fmt.Sprint(out, key)
		seen[key]++
		if seen[key] <= n {
			return 0, false
		}
		return 1, false
	}
}

// peer is where a message came from: an address, or a connection.
type peer struct {
	addr net.Addr
	conn net.Conn
}

// endpoint sends and receives messages over UDP or TCP.
type endpoint struct {
	packet   net.PacketConn
	listener net.Listener
	loss     Loss
	name     string // of the transport, as Via has it
	handle   func(from peer, m sip.Message)

	guard sync.Mutex
	conns map[net.Conn]bool
	held  *datagram // overtaken
	all   sync.WaitGroup
}

type datagram struct {
	text []byte
	to   net.Addr
	from peer
	m    sip.Message
	out  bool
}

// listen opens an endpoint on a port of the system's choice, or at o.Addr if that is
// given; run takes what comes.
func listen(o Options, handle func(peer, sip.Message)) (*endpoint, error) {
	addr := o.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	e := &endpoint{loss: o.Loss, handle: handle, conns: map[net.Conn]bool{}, name: strings.ToUpper(o.Transport)}
	var err error
	if o.Transport != "udp" {
		if e.listener, err = net.Listen("tcp", addr); err == nil {
			if o.TLS != nil {
				e.listener = tls.NewListener(e.listener, o.TLS)
			}
		}
	} else {
		e.packet, err = net.ListenPacket("udp", addr)
	}
	return e, err
}

func (e *endpoint) run() {
	if e.listener != nil {
		e.all.Go(e.accept)
	} else {
		e.all.Go(e.receive)
	}
}

func (e *endpoint) addr() string {
	if e.listener != nil {
		return e.listener.Addr().String()
	}
	return e.packet.LocalAddr().String()
}

// close ends it and waits for its goroutines.
func (e *endpoint) close() {
	if e.packet != nil {
		e.packet.Close()
	} else {
		e.listener.Close()
	}
	e.guard.Lock()
	for c := range e.conns {
		c.Close()
	}
	e.guard.Unlock()
	e.all.Wait()
}

func (e *endpoint) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, addr, err := e.packet.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		m, err := sip.ParseMessage(bytes.Clone(buf[:n]))
		if n == 0 || err != nil {
			continue
		}
		e.pass(datagram{from: peer{addr: addr}, m: m})
	}
}

// pass lets a datagram go on as the loss says.
func (e *endpoint) pass(d datagram) {
	copies, late := 1, false
	if e.loss != nil {
		copies, late = e.loss(d.out, key(d.m))
	}
	e.guard.Lock()
	before := e.held
	e.held = nil
	if late && before == nil && copies > 0 {
		e.held = &d
		copies = 0
	}
	e.guard.Unlock()
	for range copies {
		e.do(d)
	}
	if before != nil {
		e.do(*before)
	}
}

func (e *endpoint) do(d datagram) {
	if d.out {
		// A refusal shows as silence, as it does to a phone.
		_, _ = e.packet.WriteTo(d.text, d.to)
	} else {
		e.handle(d.from, d.m)
	}
}

// key names a message by its start, CSeq and branch.
func key(m sip.Message) string {
	start := ""
	switch m := m.(type) {
	case *sip.Request:
		start = string(m.Method)
	case *sip.Response:
		start = strconv.Itoa(m.StatusCode)
	}
	via, cseq := "", ""
	if v := m.Via(); v != nil {
		via, _ = v.Params.Get("branch")
	}
	if c := m.CSeq(); c != nil {
		cseq = c.Value()
	}
	return start + " " + cseq + " " + via
}

func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.serve(c)
	}
}

// serve reads a connection until it ends.
func (e *endpoint) serve(c net.Conn) {
	e.guard.Lock()
	e.conns[c] = true
	e.guard.Unlock()
	e.all.Go(func() {
		defer func() {
			c.Close()
			e.guard.Lock()
			delete(e.conns, c)
			e.guard.Unlock()
		}()
		in := bufio.NewReader(c)
		for {
			text, err := readMessage(in)
			if err != nil {
				return
			}
			if m, err := sip.ParseMessage(text); err == nil {
				e.handle(peer{conn: c}, m)
			}
		}
	})
}

// readMessage takes one message off a stream.
func readMessage(in *bufio.Reader) ([]byte, error) {
	var head []byte
	length := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		if line == "\r\n" && len(head) == 0 {
			continue
		}
		head = append(head, line...)
		if line == "\r\n" {
			break
		}
		if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(strings.TrimSpace(name), "Content-Length") {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
	}
	body := make([]byte, length)
	_, err := io.ReadFull(in, body)
	return append(head, body...), err
}

// send sends a message; an error of the network is silence.
func (e *endpoint) send(to peer, text []byte) {
	if to.conn != nil {
		_, _ = to.conn.Write(text)
		return
	}
	if e.packet == nil {
		return
	}
	m, err := sip.ParseMessage(text)
	if err != nil {
		panic("a stand-in wrote what can't be read: " + err.Error())
	}
	e.pass(datagram{text: text, to: to.addr, m: m, out: true})
}

// bell tells those who wait that something has changed. Make it with newBell.
type bell struct {
	mu      sync.Mutex
	changed chan struct{}
	done    chan struct{} // closed at the end
}

func newBell() bell { return bell{done: make(chan struct{})} }

// ring runs a change and tells of it.
func (b *bell) ring(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// await waits until ok holds, looking after each change; false if limit or the end came
// first.
func (b *bell) await(limit time.Duration, ok func() bool) bool {
	over := time.NewTimer(limit)
	defer over.Stop()
	for {
		b.mu.Lock()
		if ok() {
			b.mu.Unlock()
			return true
		}
		if b.changed == nil {
			b.changed = make(chan struct{})
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-over.C:
			return false
		case <-b.done:
			return false
		}
	}
}

// over is await for those who go on until ok holds: true at the end too.
func (b *bell) over(limit time.Duration, ok func() bool) bool {
	if b.await(limit, ok) {
		return true
	}
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

var lastName atomic.Int64

// name gives a word that is used once in this process.
func name(kind string) string {
	return kind + strconv.FormatInt(lastName.Add(1), 36) + "x" + strconv.FormatInt(time.Now().UnixNano(), 36)
}

// values gives the values of a message's fields of a name.
func values(m sip.Message, name string) (all []string) {
	for _, h := range m.GetHeaders(name) {
		all = append(all, h.Value())
	}
	return all
}

func value(m sip.Message, name string) string {
	if all := values(m, name); len(all) > 0 {
		return all[0]
	}
	return ""
}

// tagOf gives the tag in a From or To value.
func tagOf(value string) string {
	_, tag, _ := strings.Cut(value, ";tag=")
	tag, _, _ = strings.Cut(tag, ";")
	return tag
}
