package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = upgradeAgain }

// upgradeAgain has a new version's process killed as it takes over. The old one serves on, and the next new version
// takes over as it should; meanwhile an operator takes a server out at its door.
func upgradeAgain(p *play) {
	const grace = 500*time.Millisecond + 50*time.Millisecond // of the rule, and the sockets' 50 ms
	const work = 50 * time.Millisecond
	var mu sync.Mutex
	begun := map[string][]time.Time{}
	var list []target
	for i := range 9 {
		uid := fmt.Sprintf("s-%d", i+1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.impossible("%v", err)
		}
		go func() {
			_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				begun[uid] = append(begun[uid], time.Now())
				mu.Unlock()
				time.Sleep(work)
				fmt.Fprintf(w, "rooms, by %s", uid)
			}))
		}()
		list = append(list, inService(uid, l.Addr().String(), "dual-fast"))
	}
	d := p.startDiscovery(list...)
	clients, err := net.Listen("tcp", "127.0.0.1:0") // the platform holds the clients' socket
	if err != nil {
		p.impossible("%v", err)
	}
	accept, err := clients.(*net.TCPListener).File()
	if err != nil {
		p.impossible("%v", err)
	}
	p.accept = accept
	old := p.startUpgrade("old", d.addr, clients.Addr().String())
	p.awaitYes(old)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i := range 20 {
		load.Go(func() { p.readers(clients.Addr().String(), i, stop) })
	}
	time.Sleep(2 * time.Second)

	first := p.startUpgrade("first new", d.addr, clients.Addr().String())
	if p.trouble {
		for range 300 { // the platform has not looked yet whether it says yes
			if strings.Contains(p.log(old.process), "role=giving") {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		p.note("the first new process is killed; the old one serves on")
		first.signal(syscall.SIGKILL)
		<-first.ended
	} else {
		p.awaitYes(first)
		p.note("the old process gets SIGTERM")
		old.signal(syscall.SIGTERM)
		<-old.ended
		old = first
	}
	time.Sleep(2 * time.Second)

	next := p.startUpgrade("next new", d.addr, clients.Addr().String())
	p.awaitYes(next)
	p.note("the process before it gets SIGTERM")
	old.signal(syscall.SIGTERM)
	told := time.Now()
	if p.call(next, "/admin/cordon/s-1") != http.StatusOK {
		p.impossible("the node did not say yes")
	}
	yes := time.Now()
	select {
	case <-old.ended:
	case <-time.After(time.Until(told.Add(2600 * time.Millisecond))): // the longest deadline and 0.7 s
		p.note("SIGKILL")
		old.signal(syscall.SIGKILL)
		<-old.ended
	}
	time.Sleep(time.Second)
	close(stop)
	load.Wait()
	late, before := 0, 0
	mu.Lock()
	for _, at := range begun["s-1"] {
		if at.Sub(yes) > grace {
			late++
			p.note("s-1 got a request %.3f s behind the yes", at.Sub(yes).Seconds())
		}
		if at.Before(yes) {
			before++
		}
	}
	mu.Unlock()
	if before == 0 {
		p.impossible("s-1 got nothing before")
	}
	p.note("requests at s-1 before the yes: %d, later than %v behind it: %d", before, grace, late)
	if late > 0 {
		p.breaks("drain: %d requests were sent to s-1 later than %v behind the node's yes to cordon it", late, grace)
	}
}

// startUpgrade starts a process of a node whose clients' socket the platform holds.
func (p *play) startUpgrade(name, discovery, listen string) *node {
	n := &node{listen: listen, operator: p.freeTCP()}
	config, err := json.MarshalIndent(map[string]any{
		"name": "n1", "listen": n.listen, "discovery": discovery, "operator": n.operator, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"rev": 0, "all": true, "targets": []any{}},
		"settings": settings(),
	}, "", " ")
	if err != nil {
		p.impossible("%v", err)
	}
	n.process = p.start(name, p.command(), "PROXY_CONFIG="+p.file(name+".json", string(config)), "TMPDIR="+p.temp, "PROXY_ACCEPT_FD=3")
	return n
}

// awaitYes waits until a process says yes at its operators' door, as the platform does.
func (p *play) awaitYes(n *node) {
	for range 60 {
		if status, _ := p.get("http://" + n.operator + "/admin/health"); status == http.StatusOK {
			p.note("%s says yes", n.name)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.impossible("%s does not say yes within 6 s: %s", n.name, p.log(n.process))
}

// readers is a client that reads, with a pause after each answer, on a connection that it keeps for as long as the node does.
func (p *play) readers(addr string, client int, stop chan struct{}) {
	var c net.Conn
	var in *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-time.After(70 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
				c = nil
				continue
			}
			in = bufio.NewReader(c)
		}
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		_, err := fmt.Fprintf(c, "GET /avail-read/k%d HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: r%d-%d\r\nX-Service-Class: avail-read\r\nX-Time-Left: 1.400\r\n\r\n", i%50, client, i)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(in, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil || resp.Close {
			_ = c.Close()
			c = nil
		}
	}
}
