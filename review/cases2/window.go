package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["window"] = keyedWindow }

// keyedWindow has a keyed request whose connection is reset late, and servers whose new connections come up late.
func keyedWindow(p *play) {
	const window, slack = 6 * time.Second, 50 * time.Millisecond
	const resetAfter, late = 5500 * time.Millisecond, 900 * time.Millisecond
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		p.impossible("%v", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "box.invalid"}, DNSNames: []string{"box.invalid"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		p.impossible("%v", err)
	}
	ca := p.file("ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})))
	config := &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, MaxVersion: tls.VersionTLS12}

	var mu sync.Mutex
	first, runs := map[string]time.Time{}, map[string]int{}
	resets := 0
	handler := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get("Idempotency-Key")
			mu.Lock()
			at, known := first[id]
			repeat := known && time.Since(at) <= window+slack
			if !repeat {
				first[id] = time.Now()
				runs[id]++
			}
			reset := p.trouble && resets == 0 && id == "booking-1"
			if reset {
				resets++
			}
			mu.Unlock()
			switch {
			case repeat:
				p.note("%s: repeat of %s, %.3f s behind the first: dropped", name, id, time.Since(at).Seconds())
			case known:
				p.note("%s: %s again, %.3f s behind the first: no longer remembered, carried out", name, id, time.Since(at).Seconds())
			default:
				p.note("%s: %s carried out", name, id)
			}
			if reset {
				time.Sleep(resetAfter)
				p.note("%s: the connection of %s is reset", name, id)
				if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
					if t, ok := c.(*tls.Conn); ok {
						resetConn(t.NetConn())
					}
				}
				return
			}
			fmt.Fprintln(w, "booked", id)
		}
	}
	servers := ""
	for _, name := range []string{"s1", "s2"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.impossible("%v", err)
		}
		go func() { _ = http.Serve(&lateListener{l, config, p.trouble && name == "s2", late}, handler(name)) }()
		servers += fmt.Sprintf("[[web.server]]\nname = %q\naddress = %q\n", name, l.Addr())
	}
	listen := p.freeTCP()
	file := p.file("web.toml", fmt.Sprintf("[[web]]\nname = \"shop\"\nlisten = %q\n%s[[web.class]]\nname = \"default\"\n[[web.class]]\nname = \"orders\"\naim = \"1s\"\ndeadline = \"10s\"\nrepeats_dropped = %q\n"+
		"[[web.rule]]\npath = \"/orders/\"\nmethods = [\"POST\"]\nclass = \"orders\"\n[web.upstream]\ntls = true\nca = %q\nname = \"box.invalid\"\nconnect = \"1500ms\"\n", listen, servers, window, ca))
	n := p.start("node", p.command()+" serve --file '"+file+"'")
	for i := 0; ; i++ {
		if c, err := net.Dial("tcp", listen); err == nil {
			_ = c.Close()
			break
		}
		if i == 100 {
			p.impossible("the front does not listen: %s", p.log(n))
		}
		time.Sleep(50 * time.Millisecond)
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+listen+"/orders/1", strings.NewReader("one room"))
	if err != nil {
		p.impossible("%v", err)
	}
	r.Header.Set("Idempotency-Key", "booking-1")
	p.note("client: POST with the key booking-1")
	resp, err := (&http.Client{Timeout: 12 * time.Second}).Do(r)
	if err != nil {
		p.note("client: %v", err)
	} else {
		_ = resp.Body.Close()
		p.note("client: answered %d", resp.StatusCode)
	}
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	p.note("booking-1 was carried out %d times", runs["booking-1"])
	switch {
	case runs["booking-1"] == 0:
		p.impossible("no server got the request")
	case runs["booking-1"] > 1:
		p.breaks("duplicate: a keyed request that had run was sent again more than %v behind its first attempt, and ran twice", window+slack)
	}
}

// lateListener makes TLS handshakes, which come late.
type lateListener struct {
	net.Listener
	config *tls.Config
	late   bool
	by     time.Duration
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return tls.Server(&lateConn{Conn: c, late: l.late, by: l.by}, l.config), nil
}

// lateConn delays its first answer.
type lateConn struct {
	net.Conn
	late bool
	by   time.Duration
	once sync.Once
}

// Write implements net.Conn.
func (c *lateConn) Write(b []byte) (int, error) {
	if c.late {
		c.once.Do(func() { time.Sleep(c.by) })
	}
	return c.Conn.Write(b)
}
