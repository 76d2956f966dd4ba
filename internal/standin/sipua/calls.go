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

// CallsOptions configure calls through one proxy.
type CallsOptions struct {
	URL     string // sip:127.0.0.1:5060, with ;transport=tcp for TCP
	Callers int    // number of user agents, each with its own address; 8 if 0
	T1      time.Duration
	// AwaitBye makes a call end with the answer to its BYE. Otherwise it ends once it is set up, so
	// that its duration is the time of the setup, and the BYE is sent in the background.
	AwaitBye bool
}

const (
	defaultCallers = 8
	maxCallers     = 1000
	// maxHangups bounds the calls that are not yet ended, including those whose BYE is in
	// progress; a call waits for a slot before it begins.
	maxHangups = 10_000
)

// Calls is a load.Target whose requests are SIP calls: INVITE, its answer, ACK and BYE.
type Calls struct {
	opt           CallsOptions
	callers       []*Caller
	hangupSlots   chan struct{} // a slot for each call that is not yet ended
	hangups       sync.WaitGroup
	failedHangups atomic.Int64
}

// NewCalls returns a load target for calls to loopback addresses; it must be closed.
func NewCalls(o CallsOptions) (*Calls, error) {
	rest, ok := strings.CutPrefix(o.URL, "sip:")
	addr, transport, named := strings.Cut(rest, ";transport=")
	if !named {
		transport = "udp"
	}
	at, err := netip.ParseAddrPort(addr)
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
	switch {
	case !ok || err != nil || transport != "udp" && transport != "tcp":
		return nil, fmt.Errorf("calls: %q is no sip:ADDRESS:PORT or sip:ADDRESS:PORT;transport=tcp URL", o.URL)
	case !at.Addr().IsLoopback() || !at.Addr().Is4():
		return nil, fmt.Errorf("calls: callers are on 127.0.0.1 and reach 127.0.0.0/8 only, not %v", at.Addr())
	case o.Callers < 1 || o.Callers > maxCallers:
		return nil, fmt.Errorf("calls: %d callers, want 1 to %d", o.Callers, maxCallers)
	}
	c := &Calls{opt: o, hangupSlots: make(chan struct{}, maxHangups)}
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

// Close waits for the BYEs in progress and closes the callers.
func (c *Calls) Close() {
	c.hangups.Wait()
	for _, u := range c.callers {
		u.Close()
	}
}

// FailedHangups returns the number of calls whose BYE was not answered 200. It is final once Close has returned.
func (c *Calls) FailedHangups() int { return int(c.failedHangups.Load()) }

// Do implements load.Target. An answer 2xx counts as Served, 503 and 480 as Refused, any
// other as Failed. Without an answer before ctx's deadline the call is Broken and its INVITE
// is cancelled.
func (c *Calls) Do(ctx context.Context, n uint64, _ time.Time) load.Outcome {
	select {
	case c.hangupSlots <- struct{}{}:
	case <-ctx.Done():
		return load.Broken
	}
	u := c.callers[n%uint64(len(c.callers))]
	left := 64 * u.t1
	if end, ok := ctx.Deadline(); ok {
		left = time.Until(end)
	}
	tx := u.Send(Request{Method: "INVITE"})
	code := tx.AwaitFinal(left)
	done := func() {
		u.forget(tx)
		<-c.hangupSlots
	}
	switch {
	case code == 0:
		c.hangups.Go(func() {
			defer done()
			cancel := tx.Cancel()
			cancel.AwaitFinal(64 * u.t1)
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
		if bye.AwaitFinal(64*u.t1) != 200 {
			c.failedHangups.Add(1)
		}
		u.forget(bye)
	}
	if c.opt.AwaitBye {
		hangUp()
	} else {
		c.hangups.Go(hangUp)
	}
	return load.Served
}

// forget drops a transaction, so that a caller's memory is bounded by its current calls.
func (c *Caller) forget(t *Transaction) {
	c.update(func() { delete(c.requests, t.Method+" "+t.Branch) })
}

var _ load.Target = (*Calls)(nil)
