package sip

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"otterstep/internal/fleet/pki"
	"otterstep/internal/serverlist"
	"otterstep/internal/sip/proxy"
	"otterstep/internal/standin/sipua"
	"otterstep/policy"
)

// inviteDeadline sets the deadline of the class of INVITE.
func inviteDeadline(d time.Duration) func(*Config) {
	return func(c *Config) { c.Class.Invite.Deadline.Duration = d }
}

// countInvites returns how many INVITE transactions of a call all servers have received.
func (d *testFront) countInvites(tx *sipua.Transaction) (n int) {
	for _, s := range d.servers {
		n += s.Count("INVITE", tx.CallID)
	}
	return n
}

// await waits until the front's state satisfies ok.
func (d *testFront) await(what string, ok func(View) bool) {
	d.t.Helper()
	var v View
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		if v = d.view(); ok(v) {
			return
		}
	}
	d.t.Fatalf("%s: %+v", what, v)
}

// A server sends a provisional response and no final one. The caller gets one final response
// at the deadline, and the server a CANCEL. A late 2xx is answered with ACK and BYE and is not
// forwarded.
func TestNoFinalAfterProvisional(t *testing.T) {
	for _, transport := range []string{"udp", "tcp"} {
		for _, provisional := range []int{100, 180} {
			t.Run(fmt.Sprint(transport, " ", provisional), func(t *testing.T) {
				finalSent := make(chan struct{}) // a 200 that arrives before the 408 is sent is rightly forwarded
				d := startTestFront(t, testFrontOptions{transport: transport, modify: inviteDeadline(300 * time.Millisecond), script: func(c *sipua.Call) {
					c.Reply(provisional)
					if c.Cancelled(waitLimit) {
						select {
						case <-finalSent:
						case <-time.After(waitLimit):
						}
						c.Reply(200)
					}
				}})
				tx := d.caller.Send(sipua.Request{Method: "INVITE"})
				began := time.Now()
				expectFinal(t, tx, 408)
				close(finalSent)
				if took := time.Since(began); took > waitLimit/2 {
					t.Errorf("final response after %v", took)
				}
				s := d.servers[0]
				for _, method := range []string{"CANCEL", "ACK", "BYE"} {
					if !s.Await(method, tx.CallID, 1, waitLimit) {
						t.Errorf("no %s", method)
					}
				}
				expectFinal(t, tx, 408)
				v := d.view()
				if end := map[int]string{100: "stalled", 180: "rang out"}[provisional]; v.LateSuccesses != 1 || v.Pool.Counts[proxy.ClassInvite][2] != 1 {
					t.Errorf("%s: %+v, %v", end, v.View, v.Pool.Counts)
				}
			})
		}
	}
}

// A server that has sent no provisional response gets no CANCEL until it sends one (RFC 3261
// section 9.1).
func TestNoResponse(t *testing.T) {
	wake := make(chan struct{})
	d := startTestFront(t, testFrontOptions{modify: inviteDeadline(300 * time.Millisecond), script: func(c *sipua.Call) {
		<-wake
		c.Reply(180)
		if c.Cancelled(waitLimit) {
			c.Reply(487)
		}
	}})
	tx := d.caller.Send(sipua.Request{Method: "INVITE"})
	expectFinal(t, tx, 408)
	s := d.servers[0]
	if n := s.Count("CANCEL", tx.CallID); n != 0 {
		t.Errorf("%d CANCELs", n)
	}
	close(wake)
	if !s.Await("CANCEL", tx.CallID, 1, waitLimit) || !s.Await("ACK", tx.CallID, 1, waitLimit) {
		t.Error("no CANCEL or ACK after a late provisional response")
	}
	expectFinal(t, tx, 408)
	if n := d.countInvites(tx); n != 1 {
		t.Errorf("%d INVITEs", n)
	}
}

// CANCEL and the final response cross in every order. Each transaction gets one final response.
func TestCancelRaces(t *testing.T) {
	d100 := make(chan struct{}) // a server waits on it before its first response
	ringing := func(c *sipua.Call) {
		c.Reply(180)
		if c.Cancelled(waitLimit) {
			c.Reply(487)
		}
	}
	for _, c := range []struct {
		name   string
		script sipua.Script
		play   func(d *testFront, tx *sipua.Transaction) (cancels []*sipua.Transaction)
		want   int
	}{
		{"before 100", func(c *sipua.Call) { <-d100; ringing(c) }, func(d *testFront, tx *sipua.Transaction) []*sipua.Transaction {
			d.await("the INVITE reached no server", func(View) bool { return d.countInvites(tx) == 1 })
			cancel := tx.Cancel()
			cancel.AwaitFinal(waitLimit)
			d100 <- struct{}{}
			return []*sipua.Transaction{cancel}
		}, 487},
		{"after 180", ringing, func(_ *testFront, tx *sipua.Transaction) []*sipua.Transaction {
			tx.AwaitCode(180, waitLimit)
			return []*sipua.Transaction{tx.Cancel()}
		}, 487},
		{"after 180, ignored by the server", func(c *sipua.Call) { c.Reply(180) }, func(_ *testFront, tx *sipua.Transaction) []*sipua.Transaction {
			tx.AwaitCode(180, waitLimit)
			return []*sipua.Transaction{tx.Cancel()}
		}, 487},
		{"a 200 answers it", func(c *sipua.Call) {
			c.Reply(180)
			if c.Cancelled(waitLimit) {
				c.Reply(200)
			}
		}, func(_ *testFront, tx *sipua.Transaction) []*sipua.Transaction {
			tx.AwaitCode(180, waitLimit)
			return []*sipua.Transaction{tx.Cancel()}
		}, 200},
		{"a 503 answers it", func(c *sipua.Call) {
			c.Reply(180)
			if c.Cancelled(waitLimit) {
				c.Reply(503)
			}
		}, func(_ *testFront, tx *sipua.Transaction) []*sipua.Transaction {
			tx.AwaitCode(180, waitLimit)
			return []*sipua.Transaction{tx.Cancel()}
		}, 487},
		{"after 200", sipua.RingAndAnswer, func(_ *testFront, tx *sipua.Transaction) []*sipua.Transaction {
			tx.AwaitFinal(waitLimit)
			return []*sipua.Transaction{tx.Cancel()}
		}, 200},
		{"twice", ringing, func(_ *testFront, tx *sipua.Transaction) []*sipua.Transaction {
			tx.AwaitCode(180, waitLimit)
			tx.Cancel() // the same transaction: the caller tracks only the later one
			return []*sipua.Transaction{tx.Cancel()}
		}, 487},
		{"on another connection", ringing, func(d *testFront, tx *sipua.Transaction) []*sipua.Transaction {
			tx.AwaitCode(180, waitLimit)
			if err := d.caller.Reconnect(d.front.Listen()["tcp"]); err != nil {
				d.t.Fatal(err)
			}
			return []*sipua.Transaction{tx.Cancel()}
		}, 487},
	} {
		for _, transport := range []string{"udp", "tcp"} {
			if transport == "udp" && c.name == "on another connection" || transport == "tcp" && c.name == "twice" {
				continue
			}
			t.Run(c.name+" "+transport, func(t *testing.T) {
				t.Parallel()
				d := startTestFront(t, testFrontOptions{transport: transport, servers: 2, modify: inviteDeadline(waitLimit), script: c.script})
				tx := d.caller.Send(sipua.Request{Method: "INVITE"})
				for _, cancel := range c.play(d, tx) {
					if cancel.AwaitFinal(waitLimit) != 200 {
						t.Errorf("CANCEL: %q", cancel.Finals())
					}
				}
				expectFinal(t, tx, c.want)
				if n := d.countInvites(tx); n > 1 {
					t.Errorf("%d INVITEs", n)
				}
				d.await("the pool still holds requests", func(v View) bool { return v.Pool.Requests == 0 && v.Pool.Open == 0 })
			})
		}
	}
	d := startTestFront(t, testFrontOptions{})
	q := sipua.Request{Method: "CANCEL"}
	expectFinal(t, d.caller.Send(q), 481) // matches no INVITE
	invite := d.caller.Send(sipua.Request{Method: "INVITE"})
	expectFinal(t, invite, 200)
	// A CANCEL with the right branch but from another address is rejected.
	stranger, err := sipua.NewCaller(sipua.Options{Proxy: d.front.Listen()["udp"], Transport: "udp", Addr: "127.0.0.9:0", T1: t1})
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	q = sipua.Request{Method: "CANCEL", CallID: invite.CallID, Branch: invite.Branch, Via: "SIP/2.0/UDP " + d.caller.Addr() + ";rport;branch=" + invite.Branch}
	if code := stranger.Send(q).AwaitFinal(waitLimit); code != 481 {
		t.Errorf("CANCEL from another address: %d", code)
	}
}

// With loss, duplication and reordering, a server receives each INVITE once and the caller one
// final response.
func TestLossyLinks(t *testing.T) {
	seeded := func(seed uint64) func(bool) sipua.Loss {
		return func(bool) sipua.Loss {
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(seed, 2))
			return func(bool, string) (int, bool) {
				mu.Lock()
				defer mu.Unlock()
				return []int{0, 1, 1, 1, 2}[rng.IntN(5)], rng.IntN(4) == 0
			}
		}
	}
	links := map[string]func(caller bool) sipua.Loss{
		"once":   func(bool) sipua.Loss { return sipua.LoseFirst(1) },
		"double": func(bool) sipua.Loss { return func(bool, string) (int, bool) { return 2, false } },
	}
	// Three losses in each direction on one hop. On both hops, a non-INVITE request would take
	// longer than the 64*T1 that RFC 3261 allows.
	for _, lossy := range []bool{true, false} {
		links[fmt.Sprint("thrice, at the caller ", lossy)] = func(caller bool) sipua.Loss {
			if caller != lossy {
				return nil
			}
			return sipua.LoseFirst(3)
		}
	}
	for seed := range uint64(6) {
		links[fmt.Sprint("seed ", seed)] = seeded(seed)
	}
	for name, link := range links {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startTestFront(t, testFrontOptions{servers: 2, loss: link})
			var all sync.WaitGroup
			for n := range 12 {
				all.Go(func() {
					if n%4 == 3 {
						if tx := d.caller.Send(sipua.Request{Method: "OPTIONS"}); tx.AwaitFinal(waitLimit) != 200 || len(tx.Finals()) != 1 {
							t.Errorf("OPTIONS: %q", tx.Finals())
						}
						return
					}
					tx := d.caller.Send(sipua.Request{Method: "INVITE"})
					if code := tx.AwaitFinal(waitLimit); code != 200 {
						t.Errorf("INVITE: final response %d", code)
					}
					q := tx.Dialog()
					q.Method = "BYE"
					if code := d.caller.Send(q).AwaitFinal(waitLimit); code != 200 {
						t.Errorf("BYE: final response %d", code)
					}
					if n := d.countInvites(tx); n != 1 || len(tx.Finals()) != 1 {
						t.Errorf("servers got %d INVITEs, final responses %q", n, tx.Finals())
					}
				})
			}
			all.Wait()
			d.await("left behind", func(v View) bool { return v.Timers == 0 && len(v.Clients) == 0 && len(v.View.Servers) == 0 })
		})
	}
}

// An INVITE that fails at a server is retried at another only if it is known not to have run.
// Otherwise the caller gets the failure.
func TestServerFailures(t *testing.T) {
	for _, c := range []struct {
		name, transport string
		script          sipua.Script // nil: the server is closed
		elsewhere       bool
		final           int
	}{
		{"refuses", "udp", nil, true, 200},
		{"refuses", "tcp", nil, true, 200},
		{"503", "udp", sipua.Decline(503), true, 200},
		{"503", "tcp", sipua.Decline(503), true, 200},
		{"500", "udp", sipua.Decline(500), false, 500},
		{"480", "udp", sipua.Decline(480), false, 480},
		{"501", "udp", sipua.Decline(501), false, 501},
		{"600", "udp", sipua.Decline(600), false, 600},
		{"302", "udp", sipua.Decline(302), false, 302},
		{"407", "udp", sipua.Decline(407), false, 407},
		{"resets after the last byte", "tcp", func(c *sipua.Call) { c.Reset() }, false, 500},
		{"100, then a reset", "tcp", func(c *sipua.Call) { c.Reply(100); c.Reset() }, false, 500},
		{"180, then a reset", "tcp", func(c *sipua.Call) { c.Reply(180); c.Reset() }, false, 500},
		{"silence", "udp", func(*sipua.Call) {}, false, 408},
	} {
		t.Run(c.name+" "+c.transport, func(t *testing.T) {
			t.Parallel()
			d := startTestFront(t, testFrontOptions{servers: 2, transport: c.transport, modify: func(c *Config) {
				inviteDeadline(1500 * time.Millisecond)(c)
				c.Class.Invite.Aim.Duration = 300 * time.Millisecond // retries wait for a fraction of it
			}})
			bad := d.servers[0]
			if c.script == nil {
				bad.Close()
				d.servers[0] = d.servers[1]
			} else {
				bad.SetScript(c.script)
			}
			met, calls, finals := 0, int64(0), map[int]int{}
			for range 20 {
				calls++
				tx := d.caller.Send(sipua.Request{Method: "INVITE"})
				code := tx.AwaitFinal(waitLimit)
				if len(tx.Finals()) != 1 {
					t.Fatalf("final responses %q", tx.Finals())
				}
				finals[code]++
				seen := d.servers[1].Count("INVITE", tx.CallID)
				if c.script != nil && bad.Count("INVITE", tx.CallID) > 0 {
					met++
					if want := map[bool]int{true: 1}[c.elsewhere]; seen != want {
						t.Errorf("the other server got the INVITE %d times, want %d", seen, want)
					}
					if code != c.final {
						t.Errorf("final response %d, want %d", code, c.final)
					}
				} else if code != 200 {
					t.Errorf("final response %d from the working server", code)
				}
				if met > 1 {
					break
				}
			}
			if v := d.viewBehind(calls); c.script == nil && v.Ends["refused"] == 0 && v.Pool.Counts[proxy.ClassInvite][0] != 20 || c.script != nil && met == 0 {
				t.Errorf("the failing server was never used: %+v", v.View)
			}
		})
	}
}

// Guards against the 503 of a first server as the final response to a request that a second one has processed: over
// TCP, the second one's connection is reset once it has the INVITE.
func TestRefusalThenResetIsNoRefusal(t *testing.T) {
	var mu sync.Mutex
	met := map[string]bool{} // calls that a server has turned away
	d := startTestFront(t, testFrontOptions{servers: 2, transport: "tcp", script: func(c *sipua.Call) {
		id := c.Request.CallID().Value()
		mu.Lock()
		again := met[id]
		met[id] = true
		mu.Unlock()
		if again {
			c.Reset()
		} else {
			c.Reply(503)
		}
	}})
	tx := d.caller.Send(sipua.Request{Method: "INVITE"})
	expectFinal(t, tx, 500)
	if n := d.countInvites(tx); n != 2 {
		t.Errorf("%d INVITEs, want one that was turned away and one that ran", n)
	}
}

// connWithRemote is a connection with a given remote address.
type connWithRemote struct {
	net.Conn
	remote net.Addr
}

func (c connWithRemote) RemoteAddr() net.Addr { return c.remote }

// truncatingConn writes half of the first message and then fails.
type truncatingConn struct{ connWithRemote }

func (h truncatingConn) Write(b []byte) (int, error) { return len(b) / 2, net.ErrClosed }

// A connection that breaks before the last byte was written has not delivered the INVITE, so
// it is retried at another server.
func TestRetriesAfterPartialWrite(t *testing.T) {
	d := startTestFront(t, testFrontOptions{servers: 2, transport: "tcp"})
	to, err := net.ResolveTCPAddr("tcp", d.servers[0].Addr())
	if err != nil {
		t.Fatal(err)
	}
	near, far := net.Pipe()
	defer far.Close()
	if _, err := d.front.streams.add(truncatingConn{connWithRemote{near, to}}, proxy.TCP, true); err != nil {
		t.Fatal(err)
	}
	for range 50 {
		tx := d.caller.Send(sipua.Request{Method: "INVITE"})
		expectFinal(t, tx, 200)
		if v := d.view(); v.Ends["refused"] > 0 {
			if n := d.countInvites(tx); n != 1 {
				t.Errorf("%d INVITEs", n)
			}
			return
		}
	}
	t.Error("the broken connection was never used")
}

// updateList applies a changed list of the front's servers.
func (d *testFront) updateList(change func(entries []policy.Entry)) {
	entries, addrs := serverlist.Entries(d.front.config.Servers)
	change(entries)
	d.front.Members(policy.ListDelta, entries, addrs)
}

// A draining server gets no new dialogs, but the requests of its existing ones. Dialogs at a
// server that is gone are answered 481. After a restart with the same token key the front still
// routes dialogs; with another key it does not.
func TestDialogsSurviveDrainsAndRestarts(t *testing.T) {
	d := startTestFront(t, testFrontOptions{servers: 2})
	var call *sipua.Transaction
	for call == nil || d.servers[0].Count("INVITE", call.CallID) == 0 {
		call = d.caller.Send(sipua.Request{Method: "INVITE"})
		expectFinal(t, call, 200)
	}
	old := d.servers[0]
	d.updateList(func(e []policy.Entry) { e[0].State = policy.Draining })
	before := old.Count("INVITE", "")
	for range 20 {
		expectFinal(t, d.caller.Send(sipua.Request{Method: "INVITE"}), 200)
	}
	if n := old.Count("INVITE", ""); n != before {
		t.Errorf("%d new calls at a draining server", n-before)
	}
	inside := func(method string, seq, want int) {
		t.Helper()
		q := call.Dialog()
		q.Method, q.Seq = method, seq
		tx := d.caller.Send(q)
		expectFinal(t, tx, want)
		if want == 200 && !old.Await(method, call.CallID, 1, waitLimit) {
			t.Errorf("%s did not reach its server", method)
		}
	}
	inside("INVITE", 2, 200)
	if n := old.Count("INVITE", call.CallID); n != 2 {
		t.Errorf("%d INVITEs of the call at its server", n)
	}

	// Restart the node during the call, at the same address.
	c := d.front.config
	c.UDP = d.front.Listen()["udp"]
	d.stop()
	d.start(c)
	inside("INFO", 3, 200)
	d.updateList(func(e []policy.Entry) { e[0].State = policy.Gone })
	inside("UPDATE", 4, 481)

	// The token of another dialog, then no token.
	q := call.Dialog()
	q.Method, q.Seq, q.CallID = "BYE", 5, "another"
	expectFinal(t, d.caller.Send(q), 403)
	q = call.Dialog()
	q.Method, q.Seq, q.Routes = "BYE", 6, nil
	expectFinal(t, d.caller.Send(q), 481)

	d.stop()
	if err := os.WriteFile(c.TokenKey, []byte(strings.Repeat("z", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	d.start(c)
	inside("BYE", 7, 403)
	if v := d.view(); v.Refused["forged token"] != 1 {
		t.Errorf("refusals by cause: %v", v.Refused)
	}
}

// A recently started server gets few calls of a burst until it has answered some. Its share
// then grows with its answers.
func TestColdServerIsRampedUp(t *testing.T) {
	d := startTestFront(t, testFrontOptions{servers: 3})
	ready := make(chan struct{})
	d.servers[0].SetScript(func(c *sipua.Call) {
		<-ready
		sipua.RingAndAnswer(c)
	})
	d.updateList(func(e []policy.Entry) { e[0].Started = d.front.now() })
	var all sync.WaitGroup
	for range 40 {
		all.Go(func() {
			for range 5 {
				if code := d.caller.Send(sipua.Request{Method: "INVITE"}).AwaitFinal(waitLimit); code != 200 {
					t.Errorf("INVITE: final response %d", code)
				}
			}
		})
	}
	if !d.servers[1].Await("INVITE", "", 40, waitLimit) {
		t.Error("a warm server did not get 40 calls")
	}
	// It starts at a tenth of its capacity and can accumulate a burst of at most six calls.
	if early := d.servers[0].Count("INVITE", ""); early > 8 {
		t.Errorf("the cold server had %d calls before it answered one", early)
	}
	close(ready)
	all.Wait()
	if n := d.servers[0].Count("INVITE", "") + d.servers[1].Count("INVITE", "") + d.servers[2].Count("INVITE", ""); n != 200 {
		t.Errorf("servers got %d calls, want 200", n)
	}
}

// While every breaker is open, a call is refused at once with a Retry-After. Calls are accepted
// again after a server has answered a ping.
func TestAllBreakersOpen(t *testing.T) {
	d := startTestFront(t, testFrontOptions{servers: 2, script: sipua.Decline(500)})
	var refused *sipua.Transaction
	for n := 0; refused == nil; n++ {
		tx := d.caller.Send(sipua.Request{Method: "INVITE"})
		began := time.Now()
		switch code := tx.AwaitFinal(waitLimit); {
		case code == 503:
			refused = tx
			if took := time.Since(began); took > time.Second {
				t.Errorf("refused after %v", took)
			}
		case code != 500 || n > 30:
			t.Fatalf("final response %d, and no breaker opened: %+v", code, d.view().Pool.Servers)
		}
	}
	if v, err := strconv.Atoi(retryAfter(refused)); err != nil || v < 5 || v > 10 {
		t.Errorf("Retry-After: %q", retryAfter(refused))
	}
	for _, s := range d.servers {
		s.SetScript(sipua.RingAndAnswer)
	}
	d.await("no breaker closed", func(v View) bool {
		return v.Pool.Servers[0].Breaker == "closed" && v.Pool.Servers[1].Breaker == "closed"
	})
	expectFinal(t, d.caller.Send(sipua.Request{Method: "INVITE"}), 200)
}

func retryAfter(tx *sipua.Transaction) string {
	for _, r := range tx.Responses() {
		if h := r.GetHeader("Retry-After"); h != nil {
			return h.Value()
		}
	}
	return ""
}

// A call forks behind a server. Each provisional response and each 2xx is forwarded with its own
// tag, and unknown fields are unchanged.
func TestForks(t *testing.T) {
	d := startTestFront(t, testFrontOptions{script: func(c *sipua.Call) {
		c.ReplyAs(180, "one")
		c.ReplyAs(183, "two", "X-Odd: a;b, c")
		c.ReplyAs(180, "three")
		c.ReplyAs(200, "two")
		c.ReplyAs(200, "three")
	}})
	tx := d.caller.Send(sipua.Request{Method: "INVITE"})
	s := d.servers[0]
	if tx.AwaitFinal(waitLimit) != 200 || !s.Await("ACK", tx.CallID, 2, waitLimit) {
		t.Fatalf("final responses %q, or an ACK is missing", tx.Finals())
	}
	got := map[string]bool{}
	for _, r := range tx.Responses() {
		tag, _ := r.To().Params.Get("tag")
		got[fmt.Sprint(r.StatusCode, " ", tag)] = true
		if r.StatusCode == 183 && (r.GetHeader("X-Odd") == nil || r.GetHeader("X-Odd").Value() != "a;b, c") {
			t.Errorf("183: %v", r)
		}
	}
	for _, want := range []string{"180 one", "183 two", "180 three", "200 two", "200 three"} {
		if !got[want] {
			t.Errorf("no %s among %v", want, got)
		}
	}
}

// Requests over the limits are answered 503 with a jittered Retry-After. Calls in progress
// continue, and no state exceeds the limits.
func TestFloods(t *testing.T) {
	d := startTestFront(t, testFrontOptions{modify: func(c *Config) {
		c.Limits.Transactions, c.Limits.PerSource = 64, 20
		c.Class.Invite.Deadline.Duration = waitLimit
	}})
	call := d.caller.Send(sipua.Request{Method: "INVITE"})
	expectFinal(t, call, 200)
	d.servers[0].SetScript(func(c *sipua.Call) { c.Reply(100); c.Cancelled(waitLimit) })
	waits, sources := map[string]bool{}, 6
	var lost []*sipua.Transaction
	for n := range sources {
		flooder, err := sipua.NewCaller(sipua.Options{Proxy: d.front.Listen()["udp"], Transport: "udp", Addr: fmt.Sprintf("127.0.0.%d:0", 10+n), T1: t1})
		if err != nil {
			t.Fatal(err)
		}
		defer flooder.Close()
		for range 30 {
			tx := flooder.Send(sipua.Request{Method: "INVITE"})
			if tx.AwaitFirst(waitLimit) == 503 {
				waits[retryAfter(tx)] = true
				lost = append(lost, tx)
			}
			v := d.view()
			open := 0
			for _, n := range v.View.Servers {
				open += n
			}
			if open > 64 || v.Sources > sources+1 {
				t.Fatalf("%d transactions, %d sources", open, v.Sources)
			}
		}
	}
	if v := d.view(); v.Refused["source"] == 0 || v.Refused["transactions"] == 0 || len(lost) == 0 {
		t.Errorf("refusals by cause: %v", v.Refused)
	}
	if len(waits) < 3 {
		t.Errorf("Retry-After values %v, want at least 3", waits)
	}
	q := call.Dialog()
	q.Method = "BYE"
	expectFinal(t, d.caller.Send(q), 200)
}

// Malformed requests are answered with an error status where that is possible, and don't affect
// a call in progress.
func TestMalformedInput(t *testing.T) {
	for _, transport := range []string{"udp", "tcp"} {
		t.Run(transport, func(t *testing.T) {
			d := startTestFront(t, testFrontOptions{transport: transport})
			call := d.caller.Send(sipua.Request{Method: "INVITE"})
			expectFinal(t, call, 200)
			noisy, err := sipua.NewCaller(sipua.Options{Proxy: d.front.Listen()[transport], Transport: transport, T1: t1})
			if err != nil {
				t.Fatal(err)
			}
			defer noisy.Close()
			rng := rand.New(rand.NewPCG(7, 7))
			for range 300 {
				q := sipua.Request{Method: "INVITE"}
				text := noisy.Write(&q)
				switch rng.IntN(3) {
				case 0:
					text = text[:rng.IntN(len(text))]
				case 1:
					text[rng.IntN(len(text))] = byte(rng.IntN(256))
				default:
					i := rng.IntN(len(text))
					text = append(text[:i:i], text[min(len(text), i+rng.IntN(40)):]...)
				}
				if noisy.SendRaw(text) != nil { // the front closes a stream after malformed input
					if err := noisy.Reconnect(d.front.Listen()[transport]); err != nil {
						t.Fatal(err)
					}
				}
			}
			for want, q := range map[int]sipua.Request{
				416: {Method: "INVITE", URI: "isbn:2983792873"},
				420: {Method: "INVITE", Fields: []string{"Proxy-Require: nothingSupportsThis"}},
				400: {Method: "INVITE", Fields: []string{"Content-Length: 0"}},
				513: {Method: "INVITE", Body: strings.Repeat("x", 17<<10)},
			} {
				c, err := sipua.NewCaller(sipua.Options{Proxy: d.front.Listen()[transport], Transport: transport, T1: t1})
				if err != nil {
					t.Fatal(err)
				}
				if code := c.Send(q).AwaitFinal(waitLimit); code != want {
					t.Errorf("final response %d, want %d", code, want)
				}
				c.Close()
			}
			q := call.Dialog()
			q.Method = "BYE"
			expectFinal(t, d.caller.Send(q), 200)
		})
	}
}

// Connections over the limit are closed, and open ones continue to work.
func TestConnectionsAreBounded(t *testing.T) {
	d := startTestFront(t, testFrontOptions{transport: "tcp", modify: func(c *Config) { c.Limits.Connections = 4 }})
	expectFinal(t, d.caller.Send(sipua.Request{Method: "INVITE"}), 200) // uses two connections: the caller's and the server's
	for range 6 {
		c, err := net.Dial("tcp", d.front.Listen()["tcp"])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	d.await("the connection limit does not hold", func(v View) bool { return v.Connections == 4 && v.RejectedConnections == 4 })
	expectFinal(t, d.caller.Send(sipua.Request{Method: "INVITE"}), 200)
}

// OPTIONS for the proxy itself as in the agent's check, loops and spirals, and the proxy's
// responses while it drains.
func TestOptionsHopsAndLoops(t *testing.T) {
	d := startTestFront(t, testFrontOptions{})
	for _, transport := range []string{"udp", "tcp"} {
		if err := Check(t.Context(), transport+":"+d.front.Listen()[transport]); err != nil {
			t.Error(err)
		}
	}
	if n := d.servers[0].Count("OPTIONS", ""); n != 0 {
		t.Errorf("%d OPTIONS for the proxy were forwarded", n)
	}
	// A request that returns unchanged is a loop; with another Request-URI it is a spiral.
	d.servers[0].SetScript(func(c *sipua.Call) {
		c.Reply(100)
		uri := c.Request.Recipient.String()
		text := strings.Replace(c.Request.String(), uri, map[bool]string{true: "sip:other@pool.invalid", false: uri}[uri == "sip:spiral@pool.invalid"], 1)
		if uri == "sip:other@pool.invalid" {
			sipua.RingAndAnswer(c)
			return
		}
		via := fmt.Sprintf("Via: SIP/2.0/UDP %s;branch=z9hG4bKback%s\r\nVia:", d.servers[0].Addr(), c.Request.CallID().Value())
		c.Reply(c.Relay(strings.Replace(text, "Via:", via, 1), d.front.Listen()["udp"], waitLimit))
	})
	expectFinal(t, d.caller.Send(sipua.Request{Method: "INVITE", URI: "sip:loop@pool.invalid"}), 482)
	expectFinal(t, d.caller.Send(sipua.Request{Method: "INVITE", URI: "sip:spiral@pool.invalid"}), 200)
	if v := d.view(); v.Refused["loop"] != 1 {
		t.Errorf("refusals by cause: %v", v.Refused)
	}
	d.front.Drain(t.Context())
	if err := Check(t.Context(), "udp:"+d.front.Listen()["udp"]); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("check of a draining proxy: %v", err)
	}
	tx := d.caller.Send(sipua.Request{Method: "INVITE"})
	expectFinal(t, tx, 503)
	if retryAfter(tx) == "" {
		t.Error("no Retry-After")
	}
}

// At the end of a drain, calls that still ring get their one final response.
func TestDrainEndsRingingCalls(t *testing.T) {
	d := startTestFront(t, testFrontOptions{script: func(c *sipua.Call) { c.Reply(180); c.Cancelled(waitLimit) }, modify: func(c *Config) { c.Drain.Duration = 300 * time.Millisecond }})
	tx := d.caller.Send(sipua.Request{Method: "INVITE"})
	if !tx.AwaitCode(180, waitLimit) {
		t.Fatal("no 180")
	}
	d.front.Drain(t.Context())
	expectFinal(t, tx, 408)
	if !d.servers[0].Await("CANCEL", tx.CallID, 1, waitLimit) {
		t.Error("no CANCEL")
	}
}

// A call over TLS on both sides. A caller without a valid certificate is rejected.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(pki.Init(dir, "test", time.Now()))
	must(pki.Issue(dir, pki.Request{Name: "node", Role: pki.Agent, Hosts: []string{"127.0.0.1"}, ValidFor: time.Hour}, time.Now()))
	must(pki.Issue(dir, pki.Request{Name: "phone", Role: pki.Operator, ValidFor: time.Hour}, time.Now()))
	file := func(name string) string { return filepath.Join(dir, name) }
	cert, err := tls.LoadX509KeyPair(file("node.pem"), file("node.key"))
	must(err)
	ca, err := os.ReadFile(file("ca.pem"))
	must(err)
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(ca)
	phone, err := tls.LoadX509KeyPair(file("phone.pem"), file("phone.key"))
	must(err)
	own := &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: roots, ServerName: "127.0.0.1",
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &phone, nil },
	}
	more := fmt.Sprintf("tls = \"127.0.0.1:0\"\ncert = %q\nkey = %q\nclient_ca = %q\nupstream.ca = %q\nupstream.name = \"127.0.0.1\"\n",
		file("node.pem"), file("node.key"), file("ca.pem"), file("ca.pem"))
	d := startTestFront(t, testFrontOptions{transport: "tls", tls: own, extraConfig: more})
	tx := d.caller.Send(sipua.Request{Method: "INVITE"})
	expectFinal(t, tx, 200)
	q := tx.Dialog()
	q.Method = "BYE"
	expectFinal(t, d.caller.Send(q), 200)
	if r := tx.Responses()[len(tx.Responses())-1]; !strings.Contains(r.String(), "transport=tls") {
		t.Errorf("the dialog is not routed over TLS: %v", r)
	}
	stranger, err := tls.Dial("tcp", d.front.Listen()["tls"], &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"})
	if err == nil { // with TLS 1.3 a client sees the rejection at its first read
		_, err = stranger.Read(make([]byte, 1))
		stranger.Close()
	}
	if err == nil {
		t.Error("a caller without a certificate was accepted")
	}
}

// A request that a strict router has rewritten, with the token in its Request-URI, reaches its
// server. So does a request by RFC 2543, without a branch in its Via.
func TestStrictRoutersAndRFC2543(t *testing.T) {
	d := startTestFront(t, testFrontOptions{})
	call := d.caller.Send(sipua.Request{Method: "INVITE"})
	expectFinal(t, call, 200)
	q := call.Dialog()
	route := strings.Trim(q.Routes[0], "<>")
	q.Method, q.Routes, q.URI = "BYE", []string{"<" + q.URI + ">"}, route // as rewritten by a strict router before the proxy
	expectFinal(t, d.caller.Send(q), 200)
	if !d.servers[0].Await("BYE", call.CallID, 1, waitLimit) {
		t.Error("the BYE did not reach its server")
	}
	old := d.caller.Send(sipua.Request{Method: "OPTIONS", Via: "SIP/2.0/UDP " + d.caller.Addr()})
	d.await("the OPTIONS by RFC 2543 was not answered", func(v View) bool { return v.Finals[200] >= 3 && d.servers[0].Count("OPTIONS", old.CallID) == 1 })
}

// When its event queue is full, a front drops datagrams, which their senders retransmit. A peer
// that does not read from its connection loses it. Neither blocks other traffic.
func TestQueuesAreBounded(t *testing.T) {
	d := startTestFront(t, testFrontOptions{})
	resume, stuck := make(chan struct{}), make(chan struct{})
	d.front.post(func() { close(stuck); <-resume })
	<-stuck
	q := sipua.Request{Method: "OPTIONS"}
	text := d.caller.Write(&q)
	for end := time.Now().Add(waitLimit); d.front.dropped.Load() == 0; {
		if err := d.caller.SendRaw(text); err != nil || time.Now().After(end) {
			t.Fatalf("no datagram was dropped: %v", err)
		}
	}
	if n := len(d.front.events); n > maxQueuedEvents {
		t.Errorf("%d events queued", n)
	}
	close(resume)
	expectFinal(t, d.caller.Send(sipua.Request{Method: "INVITE"}), 200)

	near, far := net.Pipe() // far is never read
	defer far.Close()
	s, err := d.front.streams.add(connWithRemote{near, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}}, proxy.TCP, false)
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; d.front.streams.queue(s, outgoing{text: text}); n++ {
		if n > maxQueuedMessages+1 {
			t.Fatalf("%d messages queued on one connection", n)
		}
	}
	d.await("the stalled connection was not closed", func(v View) bool { return v.Connections == 0 })
	expectFinal(t, d.caller.Send(sipua.Request{Method: "INVITE"}), 200)
}

// A REGISTER that failed at one server is retried at another only if the configuration says that
// servers drop repeats. OPTIONS is always retried, other methods never.
func TestRepeatsByClass(t *testing.T) {
	for _, dropped := range []time.Duration{0, time.Minute} {
		d := startTestFront(t, testFrontOptions{servers: 2, modify: func(c *Config) { c.Class.Register.RepeatsDropped.Duration = dropped }})
		for _, s := range d.servers {
			for _, method := range []string{"REGISTER", "OPTIONS", "MESSAGE"} {
				s.SetCode(method, 500)
			}
		}
		for method, want := range map[string]int{"REGISTER": map[bool]int{true: 2, false: 1}[dropped > 0], "OPTIONS": 2, "MESSAGE": 1} {
			tx := d.caller.Send(sipua.Request{Method: method})
			expectFinal(t, tx, 500)
			if n := d.servers[0].Count(method, tx.CallID) + d.servers[1].Count(method, tx.CallID); n != want {
				t.Errorf("%s went to %d servers, want %d (repeats dropped for %v)", method, n, want, dropped)
			}
		}
	}
}
