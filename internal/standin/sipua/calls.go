package sipua

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"otterstep/internal/load"
)

// CallsOptions describe calls to one proxy.
type CallsOptions struct {
	URL     string // sip:127.0.0.1:5060, with ;transport=tcp for TCP
	Callers int    // user agents, each with an address of its own; 8 if 0
	T1      time.Duration
	// Whole has a call end with the answer to its BYE. Else it ends once it is set up, so
	// that the time is the setup's, and the BYE follows by itself.
	Whole bool
}

const (
	usualCallers = 8
	mostCallers  = 1000
	// mostHangups bounds the BYEs that are out at once; a call waits for room before it
	// begins.
	mostHangups = 10_000
)

// Calls is a load.Target whose requests are calls: INVITE, its answer, ACK and BYE.
type Calls struct {
	opt     CallsOptions
	callers []*Caller
	room    chan struct{} // of hangups
	hangups sync.WaitGroup
	unended atomic.Int64
}

// NewCalls makes one; Close it in the end. Calls go to loopback addresses only.
func NewCalls(o CallsOptions) (*Calls, error) {
	rest, ok := strings.CutPrefix(o.URL, "sip:")
	addr, transport, named := strings.Cut(rest, ";transport=")
	if !named {
		transport = "udp"
	}
	at, err := netip.ParseAddrPort(addr)
	if o.Callers == 0 {
		o.Callers = usualCallers
	}
	switch {
	case !ok || err != nil || transport != "udp" && transport != "tcp":
		return nil, fmt.Errorf("calls: %q is no sip:ADDRESS:PORT or sip:ADDRESS:PORT;transport=tcp", o.URL)
	case !at.Addr().IsLoopback() || !at.Addr().Is4():
		return nil, fmt.Errorf("calls: callers are on 127.0.0.1 and reach 127.0.0.0/8 only, not %v", at.Addr())
	case o.Callers < 1 || o.Callers > mostCallers:
		return nil, fmt.Errorf("calls: %d callers: 1 to %d", o.Callers, mostCallers)
	}
	c := &Calls{opt: o, room: make(chan struct{}, mostHangups)}
	for range o.Callers {
		u, err := NewCaller(Options{Proxy: addr, Transport: transport, T1: o.T1})
		if err != nil {
			c.Close()
			return nil, fmt.Errorf("calls: %w", err)
		}
		c.callers = append(c.callers, u)
	}
	return c, nil
}

// Close waits for the hangups and ends the callers.
func (c *Calls) Close() {
	c.hangups.Wait()
	for _, u := range c.callers {
		u.Close()
	}
}

// Unended counts the calls whose BYE was not answered 200, once Close has returned.
func (c *Calls) Unended() int { return int(c.unended.Load()) }

// Ask implements load.Target. An answer 2xx is Served, one of 503 or 480 Refused, any
// other Failed; none within ctx is Broken, and its INVITE is cancelled.
func (c *Calls) Ask(ctx context.Context, n uint64, _ time.Time) load.Outcome {
	select {
	case c.room <- struct{}{}:
	case <-ctx.Done():
		return load.Broken
	}
	u := c.callers[n%uint64(len(c.callers))]
	left := 64 * u.t1
	if end, ok := ctx.Deadline(); ok {
		left = time.Until(end)
	}
	tx := u.Send(Request{Method: "INVITE"})
	code := tx.Final(left)
	done := func() {
		u.forget(tx)
		<-c.room
	}
	switch {
	case code == 0:
		c.hangups.Go(func() {
			defer done()
			cancel := tx.Cancel()
			cancel.Final(64 * u.t1)
			u.forget(cancel)
		})
		return load.Broken
	case code/100 != 2:
		done()
		if code == 503 || code == 480 {
			return load.Refused
		}
		return load.Failed
	}
	hangUp := func() {
		defer done()
		q := tx.Dialog()
		q.Method = "BYE"
		bye := u.Send(q)
		if bye.Final(64*u.t1) != 200 {
			c.unended.Add(1)
		}
		u.forget(bye)
	}
	if c.opt.Whole {
		hangUp()
	} else {
		c.hangups.Go(hangUp)
	}
	return load.Served
}

// forget drops a transaction, so that a caller's memory goes with the calls that it has.
func (c *Caller) forget(t *Transaction) {
	c.ring(func() { delete(c.requests, t.Method+" "+t.Branch) })
}

var _ load.Target = (*Calls)(nil)
