package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["by-hand"] = serverOutByHand }

// serverOutByHand takes a server of calls out by the operators' door and goes on calling.
func serverOutByHand(p *play) {
	const grace = 500*time.Millisecond + 50*time.Millisecond // of the rule, and the sockets' 50 ms
	var mu sync.Mutex
	received := map[string][]time.Time{}
	answer := func(q *sipRequest) {
		if q.method() == "INVITE" {
			mu.Lock()
			received[q.server.name] = append(received[q.server.name], time.Now())
			mu.Unlock()
			q.reply(180)
		}
		q.reply(200)
	}
	one := p.sipServer("pbx1", "udp", "127.0.0.1:0", answer)
	two := p.sipServer("pbx2", "udp", "127.0.0.1:0", answer)
	d := p.startDiscovery(inService("s-pbx1", one.addr, "pbx"), inService("s-pbx2", two.addr, "pbx"))
	sip := p.freeUDP()
	key := p.file("token.key", strings.Repeat("k", 32))
	n := p.startNode(d.addr, "[sip]\nudp = \""+sip+"\"\ntoken_key = \""+key+"\"\nmodel = \"pbx\"\n")
	c := p.caller(sip)
	calls := func(prefix string, number int) {
		for range number {
			call := c.newDialog(prefix)
			if code := c.request(call, "INVITE", 5*time.Second); code != 200 {
				p.note("call %s ended with %d", call.id, code)
				continue
			}
			c.request(call, "BYE", 5*time.Second)
		}
	}
	calls("before-", 10)
	mu.Lock()
	both := len(received["pbx1"]) > 0
	mu.Unlock()
	if !both {
		p.impossible("pbx1 got no call before")
	}
	out := time.Now()
	if p.trouble {
		if p.call(n, "/admin/cordon/s-pbx1") != http.StatusOK {
			p.impossible("the node did not say yes")
		}
		out = time.Now()
		if p.call(n, "/admin/cordon/s-never-listed") == http.StatusOK {
			p.impossible("the node says yes to a server that was never listed")
		}
	}
	time.Sleep(time.Second)
	calls("after-", 20)
	late := 0
	mu.Lock()
	for _, at := range received["pbx1"] {
		if at.Sub(out) > grace {
			late++
		}
	}
	all := len(received["pbx1"]) + len(received["pbx2"])
	mu.Unlock()
	p.note("INVITEs received: %d, at pbx1 later than %v after the call: %d", all, grace, late)
	if p.trouble && late > 0 {
		p.breaks("drain: %d new dialogs at s-pbx1 later than %v after the node's yes to cordon it", late, grace)
	}
}
