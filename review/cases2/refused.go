package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["refused"] = refusedThoughItRan }

// refusedThoughItRan has one server of calls that turns requests away and another one whose connection is reset under
// a request that it has carried out.
func refusedThoughItRan(p *play) {
	var mu sync.Mutex
	away := map[string]bool{} // turned away by pbx1
	ran := map[string]int{}   // carried out by pbx2, by the text's number
	reset := ""               // the request whose connection was reset
	one := p.sipServer("pbx1", "tcp", "127.0.0.1:0", func(q *sipRequest) {
		mu.Lock()
		away[q.callID()] = true
		mu.Unlock()
		q.reply(503) // its queue is full
	})
	two := p.sipServer("pbx2", "tcp", "127.0.0.1:0", func(q *sipRequest) {
		mu.Lock()
		ran[q.get("x-text")]++
		resets := p.trouble && reset == "" && away[q.callID()]
		if resets {
			reset = q.callID()
		}
		mu.Unlock()
		p.note("pbx2: carries out text %s, asked for by %s", q.get("x-text"), q.callID())
		if resets {
			p.note("pbx2: its connection is reset")
			resetConn(q.conn)
			return
		}
		q.reply(200)
	})
	sip := p.freeUDP()
	key := p.file("token.key", strings.Repeat("k", 32))
	p.startNode(p.startDiscovery().addr, "[sip]\nudp = \""+sip+"\"\ntoken_key = \""+key+"\"\n[sip.upstream]\ntransport = \"tcp\"\n"+
		"[[sip.server]]\nname = \"pbx1\"\naddress = \""+one.addr+"\"\n[[sip.server]]\nname = \"pbx2\"\naddress = \""+two.addr+"\"\n")
	c := p.caller(sip)
	for _, text := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		time.Sleep(500 * time.Millisecond) // longer than pbx1 is avoided for having turned the last one away
		for range 3 {                      // a refusal says that trying again is harmless
			d := c.newDialog("text-" + text + "-try-")
			d.fields = "X-Text: " + text + "\r\n"
			if c.request(d, "MESSAGE", 12*time.Second) != 503 {
				break
			}
			mu.Lock()
			if d.id == reset {
				p.breaks("%s was refused with 503 though pbx2 had carried it out", d.id)
			}
			mu.Unlock()
			time.Sleep(300 * time.Millisecond)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if p.trouble && reset == "" {
		p.impossible("no request reached pbx2 behind pbx1")
	}
	for text, times := range ran {
		p.note("text %s was carried out %d times", text, times)
		if times > 1 {
			p.breaks("text %s was carried out %d times: its caller tried again once it had been refused, and only then", text, times)
		}
	}
}
