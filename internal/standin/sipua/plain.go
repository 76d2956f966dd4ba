package sipua

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/emiago/sipgo/sip"
)

// BaselineProxy is a minimal UDP proxy that serves as a baseline for measurements. It keeps no
// transactions, chooses a server at random for each Call-ID, and neither retries nor refuses.
type BaselineProxy struct {
	conn         net.PacketConn
	servers      []net.Addr
	mu           sync.Mutex
	serverByCall map[string]net.Addr // never shrinks: a proxy lives for one measurement only
	goroutines   sync.WaitGroup
}

// NewBaselineProxy starts a proxy in front of servers; it must be closed.
func NewBaselineProxy(servers []string) (*BaselineProxy, error) {
	p := &BaselineProxy{serverByCall: map[string]net.Addr{}}
	for _, s := range servers {
		a, err := net.ResolveUDPAddr("udp", s)
		if err != nil {
			return nil, err
		}
		p.servers = append(p.servers, a)
	}
	var err error
	if p.conn, err = net.ListenPacket("udp", "127.0.0.1:0"); err == nil {
		p.goroutines.Go(p.run)
	}
	return p, err
}

// Addr returns the address on which it listens.
func (p *BaselineProxy) Addr() string { return p.conn.LocalAddr().String() }

// Close stops the proxy and waits for its goroutine.
func (p *BaselineProxy) Close() {
	p.conn.Close()
	p.goroutines.Wait()
}

func (p *BaselineProxy) run() {
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

func (p *BaselineProxy) server(callID string) net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.serverByCall[callID]
	if s == nil {
		s = p.servers[rand.IntN(len(p.servers))]
		p.serverByCall[callID] = s
	}
	return s
}
