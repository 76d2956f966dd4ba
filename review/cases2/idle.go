package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["idle"] = idleClients }

// idleClients has clients of the front for ordinary HTTP that ask once and keep their connections, as many as the
// front takes, and one more client.
func idleClients(p *play) {
	const connections, deadline = 256, 10 * time.Second
	var served atomic.Int64
	servers := ""
	for _, name := range []string{"s1", "s2"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.impossible("%v", err)
		}
		go func() {
			_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				served.Add(1)
				fmt.Fprintf(w, "room of %s\n", r.URL.Path)
			}))
		}()
		servers += fmt.Sprintf("[[web.server]]\nname = %q\naddress = %q\n", name, l.Addr())
	}
	listen := p.freeTCP()
	p.startNode(p.startDiscovery().addr, fmt.Sprintf("[[web]]\nname = \"shop\"\nlisten = %q\n%s[[web.class]]\nname = \"default\"\naim = \"1s\"\ndeadline = %q\n[web.limits]\nconnections = %d\n",
		listen, servers, deadline, connections))
	// ask sends one request on a new connection, which stays open, and returns the status of its answer, 0 for none.
	ask := func(path string) (c net.Conn, status int, err error) {
		if c, err = net.DialTimeout("tcp", listen, time.Second); err != nil {
			return nil, 0, err
		}
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: shop.invalid\r\n\r\n", path); err != nil {
			return c, 0, err
		}
		_ = c.SetReadDeadline(time.Now().Add(deadline + 500*time.Millisecond))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return c, 0, err
		}
		return c, resp.StatusCode, resp.Body.Close()
	}
	for i := 0; ; i++ {
		c, status, err := ask("/ready")
		if c != nil {
			_ = c.Close()
		}
		if status == http.StatusOK {
			break
		}
		if i == 100 {
			p.impossible("the front does not serve: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if p.trouble {
		answers := map[int]int{}
		for i := range connections {
			c, status, err := ask(fmt.Sprintf("/idle/%d", i))
			if status == 0 {
				p.impossible("idle client %d: %v", i, err)
			}
			answers[status]++
			defer c.Close()
		}
		p.note("%d clients have asked once, were answered, and keep their connections; answers by status: %v", connections, answers)
	}
	began := time.Now()
	_, status, err := ask("/rooms/7")
	p.note("one more client: connected, its request written whole; status %d, error %v, after %.3f s", status, err, time.Since(began).Seconds())
	p.note("requests that servers got: %d", served.Load())
	if ne, ok := err.(net.Error); status == 0 && ok && ne.Timeout() {
		p.breaks("lost: a request, written whole to a connection that the node's machine accepted, got no answer and no close within its %v and 0.5 s more", deadline)
	} else if status == 0 {
		p.note("its connection was closed with no answer")
	}
}
