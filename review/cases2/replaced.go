package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["replaced"] = replacedServer }

// replacedServer replaces one of six servers of calls, which is at work on a request, by a new one under a new id at
// the same address.
func replacedServer(p *play) {
	const servers = 6
	const work, dies, back = 950 * time.Millisecond, 700 * time.Millisecond, 200 * time.Millisecond
	var mu sync.Mutex
	ran := map[string][]string{}
	carryOut := func(q *sipRequest) {
		mu.Lock()
		defer mu.Unlock()
		ran[q.callID()] = append(ran[q.callID()], q.server.name)
		p.note("%s: carries out %s", q.server.name, q.callID())
	}
	working := make(chan *sipServer, servers)
	handle := func(q *sipRequest) {
		carryOut(q)
		working <- q.server
		time.Sleep(work)
		q.reply(200)
	}
	byName := map[string]string{}
	var list []target
	for i := range servers {
		s := p.sipServer(fmt.Sprintf("s-%d", i+1), "udp", "127.0.0.1:0", handle)
		byName[s.name] = s.addr
		list = append(list, inService(s.name, s.addr, "pbx"))
	}
	d := p.startDiscovery(list...)
	sip := p.freeUDP()
	key := p.file("token.key", strings.Repeat("k", 32))
	p.startNode(d.addr, "[sip]\nudp = \""+sip+"\"\ntoken_key = \""+key+"\"\nmodel = \"pbx\"\n")
	c := p.caller(sip)
	if p.trouble {
		go func() {
			old := <-working
			time.Sleep(dies)
			addr := byName[old.name]
			old.crash()
			time.Sleep(back)
			p.note("a new server takes the address %s", addr)
			p.sipServer("s-new", "udp", addr, handle)
			gone := inService(old.name, addr, "pbx")
			gone.State = "terminated"
			d.set(gone)
			next := inService("s-new", addr, "pbx")
			next.BootMs = time.Now().UnixMilli()
			d.set(next)
			p.note("discovery has told the node that %s is gone and s-new is there", old.name)
		}()
	}
	call := c.newDialog("message-")
	c.request(call, "MESSAGE", 9*time.Second)
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	p.note("%s was carried out by: %s", call.id, strings.Join(ran[call.id], ", "))
	switch times := len(ran[call.id]); {
	case times == 0:
		p.impossible("the message reached no server")
	case times > 1:
		p.breaks("duplicate: a request that must not be repeated was carried out %d times, by %s", times, strings.Join(ran[call.id], " and "))
	}
}
