package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart"] = callAtARestart }

// callAtARestart has a call put on hold, by an INVITE within its dialog, just after its node was told to end.
func callAtARestart(p *play) {
	const answerAfter = 1500 * time.Millisecond
	var mu sync.Mutex
	seen := map[string]int{}
	desk := p.sipServer("pbx1", "udp", "127.0.0.1:0", func(q *sipRequest) {
		mu.Lock()
		seen[q.callID()]++
		first := seen[q.callID()] == 1
		mu.Unlock()
		if q.method() == "INVITE" {
			q.reply(180)
			if !first {
				time.Sleep(answerAfter)
			}
		}
		q.reply(200)
	})
	sip := p.freeUDP()
	key := p.file("token.key", strings.Repeat("k", 32))
	n := p.startNode(p.startDiscovery().addr, "[sip]\nudp = \""+sip+"\"\ntoken_key = \""+key+"\"\n[sip.class.invite]\ndeadline = \"8s\"\n"+
		"[[sip.server]]\nname = \"pbx1\"\naddress = \""+desk.addr+"\"\n")
	c := p.caller(sip)
	call := c.newDialog("call-")
	if c.request(call, "INVITE", 5*time.Second) != 200 {
		p.impossible("the call did not come about")
	}
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		p.note("the node gets SIGTERM, and is started anew once it has ended")
		n.signal(syscall.SIGTERM)
		go func() {
			<-n.ended
			p.startAgain(n)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	code := c.request(call, "INVITE", 9*time.Second) // its deadline is 8 s
	mu.Lock()
	defer mu.Unlock()
	p.note("final response: %d; the server got %d requests of the call", code, seen[call.id])
	if code == 0 {
		p.breaks("lost: the node took an INVITE 0.2 s behind SIGTERM, and ended without a final response to it")
	}
}
