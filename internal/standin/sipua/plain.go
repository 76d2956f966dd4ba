package sipua

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/emiago/sipgo/sip"
)

// Plain is a minimal proxy over UDP to measure others against: stateless, a server at
// random for each Call-ID, nothing retried and nothing refused.
type Plain struct {
	conn    net.PacketConn
	servers []net.Addr
	mu      sync.Mutex
	calls   map[string]net.Addr // grows for good: it lives for one measurement
	done    sync.WaitGroup
}

// NewPlain makes one in front of servers; Close ends it.
func NewPlain(servers []string) (*Plain, error) {
	p := &Plain{calls: map[string]net.Addr{}}
	for _, s := range servers {
		a, err := net.ResolveUDPAddr("udp", s)
		if err != nil {
			return nil, err
		}
		p.servers = append(p.servers, a)
	}
	var err error
	if p.conn, err = net.ListenPacket("udp", "127.0.0.1:0"); err == nil {
		p.done.Go(p.run)
	}
	return p, err
}

// Addr is where it listens.
func (p *Plain) Addr() string { return p.conn.LocalAddr().String() }

// Close ends it.
func (p *Plain) Close() {
	p.conn.Close()
	p.done.Wait()
}

func (p *Plain) run() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := p.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		m, err := sip.ParseMessage(append([]byte(nil), buf[:n]...))
		if err != nil {
			continue
		}
		var to net.Addr
		switch m := m.(type) {
		case *sip.Request:
			via := m.Via()
			branch, _ := via.Params.Get("branch")
			via.Params.Add("received", from.(*net.UDPAddr).IP.String())
			via.Params.Add("rport", fmt.Sprint(from.(*net.UDPAddr).Port))
			to = p.server(m.CallID().Value())
			m.RemoveHeader("Route")
			if m.Method == sip.INVITE {
				m.PrependHeader(sip.NewHeader("Record-Route", "<sip:"+p.Addr()+";lr>"))
			}
			m.PrependHeader(sip.NewHeader("Via", "SIP/2.0/UDP "+p.Addr()+";branch="+branch+"p"))
		case *sip.Response:
			m.RemoveHeader("Via")
			via := m.Via()
			if via == nil {
				continue
			}
			host, _ := via.Params.Get("received")
			port, _ := via.Params.Get("rport")
			if to, err = net.ResolveUDPAddr("udp", net.JoinHostPort(host, port)); err != nil {
				continue
			}
		}
		_, _ = p.conn.WriteTo([]byte(m.String()), to)
	}
}

func (p *Plain) server(callID string) net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.calls[callID]
	if s == nil {
		s = p.servers[rand.IntN(len(p.servers))]
		p.calls[callID] = s
	}
	return s
}
