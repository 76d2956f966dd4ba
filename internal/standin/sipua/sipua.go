// Package sipua provides the two ends of SIP calls on loopback: callers, and servers that
// follow scripts. Both lose datagrams on command and count the messages they receive. They
// parse messages with a library that the node does not use, so that both sides can't share
// a fault.
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

// Loss decides how a datagram is delivered: in how many copies (0 loses it), and whether
// it is delayed until the next one has overtaken it. key identifies a message and is the
// same for each of its transmissions; out is true for sent datagrams, false for received ones.
type Loss func(out bool, key string) (copies int, late bool)

// LoseFirst loses the first n transmissions of each message, in each direction.
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

// peer is the other side of an exchange: an address, or a connection.
type peer struct {
	addr net.Addr
	conn net.Conn
}

// endpoint sends and receives messages over UDP, TCP or TLS.
type endpoint struct {
	packet       net.PacketConn
	listener     net.Listener
	loss         Loss
	viaTransport string // the transport's name in a Via field
	handle       func(from peer, m sip.Message)

	connsMu    sync.Mutex
	conns      map[net.Conn]bool
	delayed    *datagram // waits for the next one to overtake it
	goroutines sync.WaitGroup
}

type datagram struct {
	text []byte
	to   net.Addr
	from peer
	m    sip.Message
	out  bool
}

// listen opens an endpoint at o.Addr, or on any port if that is empty; run starts
// receiving.
func listen(o Options, handle func(peer, sip.Message)) (*endpoint, error) {
	addr := o.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	e := &endpoint{loss: o.Loss, handle: handle, conns: map[net.Conn]bool{}, viaTransport: strings.ToUpper(o.Transport)}
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
		e.goroutines.Go(e.accept)
	} else {
		e.goroutines.Go(e.receive)
	}
}

func (e *endpoint) addr() string {
	if e.listener != nil {
		return e.listener.Addr().String()
	}
	return e.packet.LocalAddr().String()
}

// close closes the endpoint and its connections and waits for its goroutines.
func (e *endpoint) close() {
	if e.packet != nil {
		e.packet.Close()
	} else {
		e.listener.Close()
	}
	e.connsMu.Lock()
	for c := range e.conns {
		c.Close()
	}
	e.connsMu.Unlock()
	e.goroutines.Wait()
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
		e.applyLoss(datagram{from: peer{addr: addr}, m: m})
	}
}

// applyLoss delivers a datagram as the endpoint's Loss decides.
func (e *endpoint) applyLoss(d datagram) {
	copies, late := 1, false
	if e.loss != nil {
		copies, late = e.loss(d.out, messageKey(d.m))
	}
	e.connsMu.Lock()
	overtaken := e.delayed
	e.delayed = nil
	if late && overtaken == nil && copies > 0 {
		e.delayed = &d
		copies = 0
	}
	e.connsMu.Unlock()
	for range copies {
		e.deliver(d)
	}
	if overtaken != nil {
		e.deliver(*overtaken)
	}
}

func (e *endpoint) deliver(d datagram) {
	if d.out {
		// An error of the network is ignored: to a phone it shows as silence.
		_, _ = e.packet.WriteTo(d.text, d.to)
	} else {
		e.handle(d.from, d.m)
	}
}

// messageKey identifies a message by its method or status code, CSeq and branch.
func messageKey(m sip.Message) string {
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
	e.connsMu.Lock()
	e.conns[c] = true
	e.connsMu.Unlock()
	e.goroutines.Go(func() {
		defer func() {
			c.Close()
			e.connsMu.Lock()
			delete(e.conns, c)
			e.connsMu.Unlock()
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

// readMessage reads one message from a stream.
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

// send sends a message; errors of the network are ignored.
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
		panic("sipua: the message to send can't be read: " + err.Error())
	}
	e.applyLoss(datagram{text: text, to: to.addr, m: m, out: true})
}

// notifier guards state and wakes those that wait for a change of it. Create it with newNotifier.
type notifier struct {
	mu      sync.Mutex
	changed chan struct{}
	done    chan struct{} // closed when the user agent is closed
}

func newNotifier() notifier { return notifier{done: make(chan struct{})} }

// update runs a change under the lock and wakes all waiters.
func (b *notifier) update(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// await waits until ok holds, checking it after each change; it returns false if limit passed or
// the user agent was closed first.
func (b *notifier) await(limit time.Duration, ok func() bool) bool {
	expired := time.NewTimer(limit)
	defer expired.Stop()
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
		case <-expired.C:
			return false
		case <-b.done:
			return false
		}
	}
}

// awaitOrClosed is await for loops that run until ok holds: it returns true also when the user agent
// is closed.
func (b *notifier) awaitOrClosed(limit time.Duration, ok func() bool) bool {
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

// uniqueName returns a name that no other call in this process returns.
func uniqueName(kind string) string {
	return kind + strconv.FormatInt(lastName.Add(1), 36) + "x" + strconv.FormatInt(time.Now().UnixNano(), 36)
}

// headerValues returns the values of all of a message's header fields of a name.
func headerValues(m sip.Message, name string) (all []string) {
	for _, h := range m.GetHeaders(name) {
		all = append(all, h.Value())
	}
	return all
}

func headerValue(m sip.Message, name string) string {
	if all := headerValues(m, name); len(all) > 0 {
		return all[0]
	}
	return ""
}

// tagOf returns the tag in the value of a From or To field.
func tagOf(value string) string {
	_, tag, _ := strings.Cut(value, ";tag=")
	tag, _, _ = strings.Cut(tag, ";")
	return tag
}
