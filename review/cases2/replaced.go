package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["replaced"] = replacedServer }

// replacedServer replaces a server of calls, which has carried out a request and not answered it yet, by a new one
// under a new id at the same address.
func replacedServer(p *play) {
	var mu sync.Mutex
	ran := map[string][]string{}
	carryOut := func(q *sipRequest) {
		mu.Lock()
		defer mu.Unlock()
		ran[q.callID()] = append(ran[q.callID()], q.server.name)
		p.note("%s: carries out %s", q.server.name, q.callID())
	}
	slow := func(q *sipRequest) {
		carryOut(q)
		time.Sleep(2 * time.Second)
		q.reply(200)
	}
	old := p.sipServer("old", "udp", "127.0.0.1:0", slow)
	addr := old.addr
	d := p.startDiscovery(inService("s-old", addr, "pbx"))
	sip := p.freeUDP()
	key := p.file("token.key", strings.Repeat("k", 32))
	p.startNode(d.addr, "[sip]\nudp = \""+sip+"\"\ntoken_key = \""+key+"\"\nmodel = \"pbx\"\n")
	c := p.caller(sip)
	if p.trouble {
		go func() {
			time.Sleep(700 * time.Millisecond)
			old.crash()
			gone := inService("s-old", addr, "pbx")
			gone.State = "terminated"
			d.set(gone)
			time.Sleep(300 * time.Millisecond)
			p.note("a new server takes the address %s", addr)
			p.sipServer("new", "udp", addr, func(q *sipRequest) { carryOut(q); q.reply(200) })
			next := inService("s-new", addr, "pbx")
			next.BootMs = time.Now().UnixMilli()
			d.set(next)
			p.note("discovery has told the node that s-old is gone and s-new is there")
		}()
	}
	call := c.newDialog("message-")
	c.request(call, "MESSAGE", 9*time.Second)
	mu.Lock()
	defer mu.Unlock()
	p.note("%s was carried out by: %s", call.id, strings.Join(ran[call.id], ", "))
	switch times := len(ran[call.id]); {
	case times == 0:
		p.impossible("the message reached no server")
	case times > 1:
		p.breaks("a request that must not be repeated was carried out %d times, by %s", times, strings.Join(ran[call.id], " and "))
	}
}
