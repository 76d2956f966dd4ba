package node

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"otterstep/internal/control"
	"otterstep/internal/cordon"
	"otterstep/internal/standin/sipua"
)

// callServers are two servers of calls and the counts of calls that each got.
type callServers [2]*sipua.Server

func newCallServers(t *testing.T) (all callServers) {
	t.Helper()
	for n := range all {
		s, err := sipua.NewServer(sipua.Options{Transport: "udp", T1: 50 * time.Millisecond}, sipua.RingAndAnswer)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		all[n] = s
	}
	return all
}

func (all callServers) counts() (counts [2]int) {
	for n, s := range all {
		counts[n] = s.Count("INVITE", "")
	}
	return counts
}

// Guards against a yes to an operator that is in force at the platform's front alone: a server out by hand, or by the
// fleet's ban, gets nothing new from any front from the yes on, and serves again behind the call back.
func TestCordonsHoldAtEveryFront(t *testing.T) {
	desk := newCallServers(t)
	web := [2]*server{newServer(t, respondWith(ok("w1"), true)), newServer(t, respondWith(ok("w2"), true))}
	webFile := fmt.Sprintf("[[web]]\nlisten = \"127.0.0.1:0\"\n[[web.server]]\nname = \"w1\"\naddress = %q\n[[web.server]]\nname = \"w2\"\naddress = %q\n[fleet]\nwait = \"10s\"\n", web[0].addr, web[1].addr)
	for name, static := range map[string]bool{"calls' servers from discovery": false, "calls' servers from the file": true} {
		t.Run(name, func(t *testing.T) {
			settings := "model = \"pbx\"\n"
			targets := []target{listedTarget(newServer(t, respondWith(ok("1"), true)), "s1")}
			if static {
				settings = fmt.Sprintf("[[sip.server]]\nname = \"pbx1\"\naddress = %q\n[[sip.server]]\nname = \"pbx2\"\naddress = %q\n", desk[0].Addr(), desk[1].Addr())
			} else {
				for n, s := range desk {
					targets = append(targets, target{UID: fmt.Sprint("pbx", n+1), Endpoint: s.Addr(), AZ: "a", Model: "pbx", State: "in_service", CapacityHint: 1})
				}
			}
			op, socket := sipOperatorFile(t, settings+webFile)
			version := uint64(0)
			ban := func(ids ...string) {
				version++
				w := control.FleetBans{FleetBans: cordon.FleetBans{Version: version, Token: 1}, Sure: true}
				for _, id := range ids {
					w.Bans = append(w.Bans, cordon.Ban{ID: id, Reason: "disk", By: "ada"})
				}
				sendFleetBans(t, socket, w)
			}
			go ban()
			_, tell, stop := startWithOperatorAPIAs(t, newRegistry(t, targets...), op)
			v, err := control.Inspect(t.Context(), socket)
			if err != nil {
				t.Fatal(err)
			}
			caller, err := sipua.NewCaller(sipua.Options{Proxy: v.SIP.Listen["udp"], Transport: "udp", T1: 50 * time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			work := func() (calls, requests [2]int64) {
				t.Helper()
				before, webBefore := desk.counts(), [2]int64{web[0].requests.Load(), web[1].requests.Load()}
				for range 10 {
					if code := caller.Send(sipua.Request{Method: "INVITE"}).AwaitFinal(testTimeout); code != 200 {
						t.Errorf("INVITE: %d", code)
					}
					resp, err := http.Get("http://" + v.Web[0].Listen + "/")
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				for n := range calls {
					calls[n], requests[n] = int64(desk.counts()[n]-before[n]), web[n].requests.Load()-webBefore[n]
				}
				return calls, requests
			}
			byHand := func(verb string, n int) {
				for _, id := range []string{fmt.Sprint("pbx", n), fmt.Sprint("w", n)} {
					if code, text := tell("POST", "/admin/"+verb+"/"+id); code != http.StatusOK {
						t.Errorf("%s %s: %d %s", verb, id, code, text)
					}
				}
			}
			for source, c := range map[string]struct{ out, back func(n int) }{
				"by hand":      {func(n int) { byHand("cordon", n) }, func(n int) { byHand("uncordon", n) }},
				"by the fleet": {func(n int) { ban(fmt.Sprint("pbx", n), fmt.Sprint("w", n)) }, func(int) { ban() }},
			} {
				for n := range 2 { // the server that is back has all of the work once the other one is out
					c.out(n + 1)
					if calls, requests := work(); calls[n] != 0 || requests[n] != 0 || calls[1-n] != 10 || requests[1-n] != 10 {
						t.Errorf("server %d out %s: calls %v, requests %v", n+1, source, calls, requests)
					}
					c.back(n + 1)
				}
			}
			if code, _ := tell("POST", "/admin/cordon/never"); code != http.StatusNotFound {
				t.Errorf("a server that was never listed: %d", code)
			}
			if err := stop(); err != nil {
				t.Error(err)
			}
		})
	}
}
