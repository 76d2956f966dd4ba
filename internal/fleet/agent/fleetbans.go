package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"otterstep/internal/boottime"
	"otterstep/internal/control"
	"otterstep/internal/cordon"
	"otterstep/internal/fleet/agentstate"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
)

const (
	// The bans are sent again to an instance that has not confirmed them after firstRetryDelay, doubled up to
	// maxRetryDelay, and to one that has confirmed them after refreshInterval, as another process may be
	// listening there by then.
	firstRetryDelay = 20 * time.Millisecond
	maxRetryDelay   = 500 * time.Millisecond
	refreshInterval = 5 * time.Second
	sendTimeout     = time.Second
	// confirmTimeout is how long an order from the duty's owner waits for instances to confirm new bans.
	confirmTimeout = 300 * time.Millisecond
	// currentFor is how long bans count as current after the council or the duty's owner last confirmed that
	// there are no newer ones. After that they may be outdated, and instances that start are told so.
	currentFor = 3 * time.Second
)

// banDistributor sends the fleet-wide bans ("the fleet's word" in messages) to this machine's instances until each
// has confirmed them. The bans are stored in the agent's record.
type banDistributor struct {
	agent *Agent
	clock boottime.Clock // includes time that the machine is suspended

	mu          sync.Mutex
	currentAt   time.Duration // on clock: when the bans were last confirmed to be the newest
	everCurrent bool          // the bans were confirmed at least once since the start
	deliveries  map[string]*delivery
	changed     chan struct{} // closed and replaced with each answer
}

// delivery is the state of sending the bans to one instance.
type delivery struct {
	wake chan struct{}

	processToken string // token of the process that the following fields refer to; "" if none runs
	answer       *control.FleetStatus
	since        time.Time // when this process first confirmed this version
	lastErr      string    // why it has not confirmed
}

func newBanDistributor(a *Agent, clock boottime.Clock) *banDistributor {
	h := &banDistributor{agent: a, clock: clock, deliveries: map[string]*delivery{}, changed: make(chan struct{})}
	for name, u := range a.units {
		if u.def.Control != "" {
			h.deliveries[name] = &delivery{wake: make(chan struct{}, 1)}
		}
	}
	return h
}

// run sends the bans to all instances until ctx is done.
func (h *banDistributor) run(ctx context.Context) {
	var all sync.WaitGroup
	for name, t := range h.deliveries {
		all.Go(func() { h.deliver(ctx, h.agent.units[name], t) })
	}
	all.Wait()
}

// wake triggers sending to an instance, or to all if name is "".
func (h *banDistributor) wake(name string) {
	for n, t := range h.deliveries {
		if name != "" && n != name {
			continue
		}
		select {
		case t.wake <- struct{}{}:
		default: // already triggered
		}
	}
}

// current returns the bans to send, and whether they are known to be the newest.
func (h *banDistributor) current() control.FleetBans {
	h.agent.mu.RLock()
	w, token := h.agent.book.FleetBans(), h.agent.book.Fences()[duty.Fleet]
	h.agent.mu.RUnlock()
	w.Token = uint64(token)
	h.mu.Lock()
	defer h.mu.Unlock()
	return control.FleetBans{FleetBans: w, Sure: h.isCurrent()}
}

// isCurrent reports whether the bans were confirmed to be the newest within currentFor. The caller holds mu.
func (h *banDistributor) isCurrent() bool {
	age := h.clock.Now() - h.currentAt
	return h.everCurrent && age >= 0 && age < currentFor
}

// deliver sends the bans to one instance until ctx is done.
func (h *banDistributor) deliver(ctx context.Context, u *unit, t *delivery) {
	again := firstRetryDelay
	for {
		wait := refreshInterval
		switch token := u.currentView().token; {
		case token == "":
			h.recordAnswer(t, "", nil, nil)
		case h.send(ctx, u, t, token):
			again = firstRetryDelay
		default:
			wait = again
			again = min(2*again, maxRetryDelay)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
			again = firstRetryDelay
		case <-time.After(wait):
		}
	}
}

// send sends the bans to a process. It returns false if they have to be sent again soon.
func (h *banDistributor) send(ctx context.Context, u *unit, t *delivery, processToken string) bool {
	bans := h.current()
	sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	answer, err := h.agent.runner.SendFleetBans(sendCtx, u.def, bans)
	if ctx.Err() != nil {
		return true
	}
	if u.currentView().token != processToken {
		return false // another process may have answered
	}
	if err != nil {
		h.recordAnswer(t, processToken, nil, err)
		return errors.Is(err, control.ErrNoFleet)
	}
	if answer.Version != bans.Version { // newer bans had arrived when the instance answered
		answer.Version = min(answer.Version, bans.Version)
	}
	h.recordAnswer(t, processToken, &answer, nil)
	return bans.Sure || answer.Waits == ""
}

// recordAnswer records a process's answer to the bans.
func (h *banDistributor) recordAnswer(t *delivery, processToken string, answer *control.FleetStatus, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	same := t.processToken == processToken && t.answer != nil
	t.lastErr = ""
	switch {
	case answer != nil:
		if !same || t.answer.Version != answer.Version {
			t.since = time.Now()
		}
		t.answer = answer
	case err != nil:
		t.lastErr = err.Error()
		if !same {
			t.answer = nil
		}
	default:
		t.answer = nil
	}
	t.processToken = processToken
	close(h.changed)
	h.changed = make(chan struct{})
}

// markCurrent records that at time at there were no newer bans than the agent's.
func (h *banDistributor) markCurrent(at time.Duration) {
	h.mu.Lock()
	wasOutdated := !h.isCurrent()
	if at > h.currentAt || h.currentAt > h.clock.Now() { // the second case: the clock went backwards
		h.currentAt = at
	}
	h.everCurrent = true
	h.mu.Unlock()
	if wasOutdated {
		h.wake("")
	}
}

// update stores bans received from the council or the duty's owner. asked is the clock's time when they were
// requested.
func (h *banDistributor) update(bans cordon.FleetBans, fence *protocol.Fence, asked time.Duration) error {
	h.agent.mu.RLock()
	before := h.agent.book.FleetBans().Version
	h.agent.mu.RUnlock()
	if fence == nil && bans.Version < before {
		return nil // the leader is catching up, or the answer was delayed
	}
	if _, err := h.agent.commit(agentstate.Entry{FleetBans: &agentstate.FleetBans{Bans: bans, Fence: fence}}); err != nil {
		return err
	}
	h.markCurrent(asked)
	if bans.Version != before {
		h.wake("")
	}
	return nil
}

// handleOrder executes an order of the duty's owner: to distribute new bans, or to raise its token and
// return the status.
func (h *banDistributor) handleOrder(ctx context.Context, o protocol.FleetOrder, fence protocol.Fence) (*protocol.FleetStatus, error) {
	asked := h.clock.Now()
	if o.Bans != nil {
		if err := h.update(*o.Bans, &fence, asked); err != nil {
			return nil, err
		}
	} else {
		if _, err := h.agent.commit(agentstate.Entry{Fence: &agentstate.Fence{Fence: fence, By: "fleet"}}); err != nil {
			return nil, err
		}
		h.agent.mu.RLock()
		has := protocol.Token(h.agent.book.FleetBans().Version)
		h.agent.mu.RUnlock()
		if has == o.Version {
			h.markCurrent(asked)
		}
	}
	limit := time.NewTimer(confirmTimeout)
	defer limit.Stop()
	for {
		h.mu.Lock()
		changed := h.changed
		h.mu.Unlock()
		status := h.status()
		if o.Bans == nil || h.allConfirmed(status) {
			return status, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			return h.status(), nil
		case <-ctx.Done():
			return h.status(), nil
		}
	}
}

// allConfirmed reports whether all running instances with a control socket have the agent's version.
func (h *banDistributor) allConfirmed(status *protocol.FleetStatus) bool {
	for _, t := range status.Instances {
		if t.Running && t.Version != status.Version && h.deliveries[t.Instance] != nil {
			return false
		}
	}
	return true
}

// status returns how far the bans have been distributed.
func (h *banDistributor) status() *protocol.FleetStatus {
	bans := h.current()
	all := map[string]protocol.Instance{}
	for _, i := range h.agent.instances() {
		all[i.Name] = i
	}
	status := &protocol.FleetStatus{Agent: h.agent.cfg.Name, Version: protocol.Token(bans.Version), Token: protocol.Token(bans.Token), Instances: []protocol.InstanceStatus{}}
	h.mu.Lock()
	defer h.mu.Unlock()
	if status.SinceKnown = h.everCurrent; h.everCurrent {
		status.SinceConfirmed = max(0, h.clock.Now()-h.currentAt)
	}
	for _, name := range h.agent.unitNames {
		t := h.deliveries[name]
		u := h.agent.units[name]
		entry := protocol.InstanceStatus{Instance: name, Group: u.def.Group, Zone: u.def.Labels["zone"], Desired: all[name].Desired, State: all[name].State, Program: all[name].Program}
		token := u.currentView().token
		entry.Running = token != ""
		switch {
		case t == nil:
			entry.PendingReason = "the agent's file names no control socket for it: it can't be told"
		case token == "":
			entry.PendingReason = "does not run: it is told when it does"
		case t.processToken != token || t.answer == nil && t.lastErr == "":
			entry.PendingReason = "not asked yet"
		case t.answer == nil:
			entry.PendingReason = t.lastErr
		default:
			entry.Version, entry.Since, entry.Listed = protocol.Token(t.answer.Version), t.since, t.answer.Listed
			entry.Missing, entry.ManualCordons, entry.PendingReason = t.answer.Missing, t.answer.Hand, t.answer.Waits
			if t.lastErr != "" {
				entry.PendingReason = fmt.Sprintf("has not confirmed again: %s", t.lastErr)
			}
		}
		status.Instances = append(status.Instances, entry)
	}
	return status
}
