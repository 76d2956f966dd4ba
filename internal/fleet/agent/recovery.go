package agent

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	randv2 "math/rand/v2"
	"slices"
	"time"

	"otterstep/internal/fleet/agentstate"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/record"
	"otterstep/internal/fleet/recovery"
	"otterstep/internal/pace"
)

const (
	resolveInterval = 100 * time.Millisecond
	// A failed report is retried after a random delay between reportRetryDelay and twice that, so
	// that agents that were disconnected together don't retry in step. A successful one is
	// repeated after reportInterval, in case the council has lost it.
	reportRetryDelay = 200 * time.Millisecond
	reportInterval   = time.Minute
)

// stateCopy is the content of the record's copy: the desired state and the fencing tokens seen,
// which are needed if the record is lost.
type stateCopy struct {
	Life      agentstate.AgentStart     `json:"life"`
	Instances map[string]copiedInstance `json:"instances"`
	Fences    map[string]protocol.Token `json:"fences,omitempty"`
}

type copiedInstance struct {
	Up         bool   `json:"up"`
	Generation uint64 `json:"generation"`
	Held       string `json:"held,omitempty"`
	Program    string `json:"program,omitempty"`
}

// recoveryTracker holds the state of the record as found at the start, and the instances that are
// held until their desired state is known. It is guarded by the agent's mu.
type recoveryTracker struct {
	kind           recovery.RecordState
	began          time.Time
	firstStart     bool
	council        recovery.CouncilState
	knownToCouncil bool // the council has data about this agent
	recentStarts   int  // agents that started at about the same time as this one
	// sources are the desired states found in the record and its copy at the start and received
	// from the council, by instance.
	sources       map[string][]recovery.Claim
	held          map[string]*heldInstance
	startSchedule *pace.Schedule // start times relative to began
	startTimes    map[string]time.Time
	// unwanted are running instances whose recovered desired state is down.
	unwanted     map[string]bool
	reportNeeded chan struct{} // signals that a report to the council is due
}

// heldInstance is an instance that is neither started nor stopped, as its desired state is not known yet.
type heldInstance struct {
	since   time.Time
	verdict recovery.Decision
}

// initRecovery reads the record's copy, determines whether the record is intact, and records this
// start. All instances are held until resolveHeld releases them.
func (a *Agent) initRecovery(fsys record.FS, found record.OpenReport, running []string, first bool) error {
	var copied *stateCopy
	log, copyFound, err := record.Open(fsys, a.cfg.Copy, a.cfg.Name, func(text json.RawMessage) error {
		var k stateCopy
		if err := json.Unmarshal(text, &k); err != nil {
			return err
		}
		copied = &k
		return nil
	})
	if err != nil {
		return fmt.Errorf("agent: copy: %w", err)
	}
	if copyFound.MovedTo != "" {
		a.log.Error("the record's copy was damaged; the damaged file is kept", "aside", copyFound.MovedTo, "why", copyFound.Reason)
		copied = nil
	}
	a.recordCopy = log
	m := &a.recovery
	m.began, m.firstStart = time.Now(), first
	life := a.book.AgentStart()
	lost := found.Created || found.MovedTo != ""
	switch {
	case found.Created && copyFound.Created && len(running) == 0:
		m.kind = recovery.Empty
	case lost:
		m.kind = recovery.Lost
	case copied != nil && (copied.Life.StateDirID != life.StateDirID || copied.Life.Starts > life.Starts || a.recordIsOlder(copied)):
		m.kind = recovery.Outdated
	default:
		m.kind = recovery.Intact
	}
	if a.cfg.Council != nil {
		m.council = recovery.Unanswered
	}
	next := agentstate.AgentStart{StateDirID: life.StateDirID, Starts: life.Starts + 1, MayLackState: life.MayLackState}
	if copied != nil {
		next.Starts = max(next.Starts, copied.Life.Starts+1)
		next.MayLackState = next.MayLackState || copied.Life.MayLackState
	}
	if m.kind == recovery.Lost || m.kind == recovery.Empty || next.StateDirID == "" {
		next.StateDirID = rand.Text()
	}
	whole := m.kind == recovery.Intact || m.kind == recovery.Empty && first
	next.MayLackState = a.cfg.Council != nil && (next.MayLackState || !whole)
	for _, name := range a.unitNames {
		m.held[name] = &heldInstance{since: m.began}
		i, _ := a.book.Instance(name)
		if i.HeldReason == "" && (whole || i.Generation > 0) {
			m.sources[name] = append(m.sources[name], recovery.Claim{Source: "the record", Up: i.Up, Generation: i.Generation, Program: i.Program})
		}
		if copied == nil {
			continue
		}
		if c, known := copied.Instances[name]; known && c.Held == "" {
			m.sources[name] = append(m.sources[name], recovery.Claim{Source: "its copy", Up: c.Up, Generation: c.Generation, Program: c.Program})
		} else if known && i.HeldReason == "" && !whole {
			a.book.Apply(agentstate.Entry{Hold: &agentstate.Hold{Instances: []string{name}, Reason: c.Held}})
		}
	}
	if !whole {
		a.log.Error("the agent's record is lost or outdated: instances whose desired state is unknown are held", "memory", m.kind.String(), "forgetful", next.MayLackState)
		a.book.RaiseHorizon(time.Now())
		a.book.Apply(agentstate.Entry{Hold: &agentstate.Hold{Instances: a.unitNames, Reason: m.kind.String()}})
		if copied != nil { // fencing tokens must never decrease
			a.book.Apply(agentstate.Entry{Adopt: &agentstate.Adopt{Fences: copied.Fences, Source: "its copy"}})
		}
	}
	entry := agentstate.Entry{At: time.Now(), AgentStart: &next}
	a.book.Apply(entry)
	b := pace.Bound{Parties: a.cfg.agentCount(), Rate: a.cfg.Pace.Rate, Burst: a.cfg.Pace.Burst}
	m.startSchedule = b.NewSchedule(randv2.Float64)
	if whole && m.council == recovery.NoCouncil && a.cfg.Pace.Rate == 0 && !slices.ContainsFunc(a.unitNames, a.wasHeld) {
		clear(m.held) // there is no council to ask and no pace to keep
	}
	a.compactedSize = a.record.Size()
	if whole {
		err := a.record.Append(entry)
		if err == nil {
			err = a.writeCopy()
		}
		if err == nil {
			return nil
		}
		a.logRecordError(err)
	}
	a.recordErr = errors.New("not written since the agent started")
	a.repairRecord()
	return nil
}

// recordIsOlder reports whether the copy is newer than the record. As the copy is always written
// after the record, this means that the record was restored from an older state.
func (a *Agent) recordIsOlder(k *stateCopy) bool {
	for name, c := range k.Instances {
		if i, _ := a.book.Instance(name); c.Generation > i.Generation {
			return true
		}
	}
	fences := a.book.Fences()
	for d, t := range k.Fences {
		if t > fences[d] {
			return true
		}
	}
	return false
}

// wasHeld reports whether an earlier run of the agent held an instance.
func (a *Agent) wasHeld(name string) bool {
	i, _ := a.book.Instance(name)
	return i.HeldReason != ""
}

// writeCopy writes the record's copy. The caller holds commitMu.
func (a *Agent) writeCopy() error {
	a.mu.RLock()
	k := stateCopy{Life: a.book.AgentStart(), Instances: map[string]copiedInstance{}, Fences: a.book.Fences()}
	for _, name := range a.unitNames {
		i, _ := a.book.Instance(name)
		k.Instances[name] = copiedInstance{i.Up, i.Generation, i.HeldReason, i.Program}
	}
	a.mu.RUnlock()
	return a.recordCopy.Rewrite(k)
}

// changesCopy reports whether an entry changes the content of the record's copy.
func changesCopy(e agentstate.Entry) bool {
	return e.Begin != nil || e.Fence != nil || e.AgentStart != nil || e.Hold != nil || e.Adopt != nil || e.FleetBans != nil && e.FleetBans.Fence != nil || e.Open != nil && e.Open.Request.Fence != nil
}

// resolveHeld releases the held instances whose desired state is known by now, and updates the
// reasons for holding the others.
func (a *Agent) resolveHeld() {
	now := time.Now()
	a.mu.Lock()
	m := &a.recovery
	recovered := map[string]agentstate.DesiredState{}
	cleared := []string{}
	source := ""
	for name, h := range m.held {
		view := a.units[name].currentView()
		i, _ := a.book.Instance(name)
		f := recovery.Facts{
			Record: m.kind, FirstStart: m.firstStart, Council: m.council, KnownToCouncil: m.knownToCouncil, Claims: slices.Clone(m.sources[name]),
			Running: view.token != "", Elapsed: now.Sub(m.began), StartAfter: a.cfg.unknownStartDelay(a.units[name].def.Group),
		}
		if i.HeldReason != "" && f.Record == recovery.Intact {
			f.Record = recovery.Lost // held by an earlier run of the agent and not decided since
		}
		if f.Running && f.Record != recovery.Intact {
			f.Claims = append(f.Claims, recovery.Claim{Source: "its process", Up: true})
		}
		v := recovery.Decide(f)
		h.verdict = v
		if v.Action != recovery.Follow {
			continue
		}
		cleared = append(cleared, name)
		if w := (agentstate.DesiredState{Up: v.Claim.Up, Generation: max(v.Claim.Generation, i.Generation), Program: v.Claim.Program}); i.HeldReason != "" || w != (agentstate.DesiredState{Up: i.Up, Generation: i.Generation, Program: i.Program}) {
			recovered[name], source = w, v.Claim.Source
			if f.Record != recovery.Intact {
				a.log.Warn("recovered the desired state", "instance", name, "why", v.Reason)
			}
		}
	}
	a.mu.Unlock()
	if len(cleared) == 0 {
		return
	}
	if len(recovered) > 0 {
		if _, err := a.commit(agentstate.Entry{Adopt: &agentstate.Adopt{Instances: recovered, Source: source}}); err != nil {
			return // retried at the next interval
		}
	}
	a.releaseHeld(cleared)
}

// releaseHeld releases units. Those to be started get a start time that keeps the fleet's start rate,
// unless the council has answered that so few agents started that all their starts fit the burst.
func (a *Agent) releaseHeld(names []string) {
	slices.SortFunc(names, func(x, y string) int { return a.cfg.compareStartOrder(a.units[x].def, a.units[y].def) })
	a.mu.Lock()
	m := &a.recovery
	paced := a.cfg.Pace.Rate > 0 && !(m.council == recovery.Answered && m.recentStarts*len(a.unitNames) <= a.cfg.Pace.Burst)
	for _, name := range names {
		if m.held[name] == nil {
			continue
		}
		delete(m.held, name)
		i, _ := a.book.Instance(name)
		runs := a.units[name].currentView().token != ""
		switch {
		case runs && !i.Up:
			m.unwanted[name] = true
		case !runs && i.Up && paced:
			m.startTimes[name] = m.began.Add(m.startSchedule.Next(time.Since(m.began)))
		}
	}
	a.mu.Unlock()
	for _, name := range names {
		a.units[name].wake()
	}
}

// startDelay reports whether a stopped instance may be started, and after what delay.
func (a *Agent) startDelay(name string) (wait time.Duration, ok bool) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	i, _ := a.book.Instance(name)
	if !i.Up || i.HeldReason != "" || a.recovery.held[name] != nil {
		return 0, false
	}
	return time.Until(a.recovery.startTimes[name]), true
}

// takeUnwanted reports whether an instance is to be stopped because its recovered desired state is down,
// and clears the mark.
func (a *Agent) takeUnwanted(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	unwanted := a.recovery.unwanted[name]
	delete(a.recovery.unwanted, name)
	return unwanted
}

// runRecovery calls resolveHeld periodically until no instance is held or ctx is done.
func (a *Agent) runRecovery(ctx context.Context) {
	every := time.NewTicker(resolveInterval)
	defer every.Stop()
	for {
		a.mu.RLock()
		more := len(a.recovery.held)
		a.mu.RUnlock()
		if more == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			a.resolveHeld()
		}
	}
}

// mayLackTokens reports whether the agent may have lost fencing tokens that it had seen: its record was
// lost or outdated, or record and copy may both have been restored from an older state, which only
// the council can tell.
func (a *Agent) mayLackTokens() bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.book.AgentStart().MayLackState || a.recovery.council == recovery.Unanswered
}

// report returns this agent's report to the council. An agent that may have lost tokens only asks for its data.
func (a *Agent) report() duty.Report {
	a.mu.RLock()
	defer a.mu.RUnlock()
	life := a.book.AgentStart()
	r := duty.Report{Agent: a.cfg.Name, StateDirID: life.StateDirID, Starts: life.Starts, QueryOnly: life.MayLackState}
	if r.QueryOnly {
		return r
	}
	r.Instances = map[string]duty.Desired{}
	for _, name := range a.unitNames {
		if i, _ := a.book.Instance(name); i.HeldReason == "" && a.recovery.held[name] == nil {
			r.Instances[name] = duty.Desired{Up: i.Up, Generation: i.Generation, Group: a.units[name].def.Group, Program: i.Program}
		}
	}
	return r
}

// handleReportAnswer applies the council's answer to a report: fencing tokens, and on the first answer the
// desired states that the council knows.
func (a *Agent) handleReportAnswer(t duty.ReportAnswer) error {
	learn := agentstate.Adopt{Fences: t.Fences, StateComplete: true, Source: "the council"}
	a.mu.RLock()
	fences, asked := a.book.Fences(), a.recovery.council != recovery.Unanswered
	forgetful := a.book.AgentStart().MayLackState
	a.mu.RUnlock()
	maps.DeleteFunc(learn.Fences, func(d string, token protocol.Token) bool { return token <= fences[d] })
	if len(learn.Fences) > 0 && !asked || forgetful {
		if _, err := a.commit(agentstate.Entry{Adopt: &learn}); err != nil {
			return err
		}
	}
	if asked {
		return nil
	}
	a.mu.Lock()
	m := &a.recovery
	m.council, m.knownToCouncil, m.recentStarts = recovery.Answered, t.Known, t.RecentStarts
	for name, d := range t.Instances {
		m.sources[name] = append(m.sources[name], recovery.Claim{Source: "the council", Up: d.Up, Generation: d.Generation, Program: d.Program})
	}
	a.mu.Unlock()
	a.resolveHeld()
	return nil
}

// reportLoop sends reports to the council and applies the answers until ctx is done.
func (c *participant) reportLoop(ctx context.Context) {
	a := c.agent
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout*3)
		r := a.report()
		asked := c.clock.Now()
		answer, err := c.Do(callCtx, duty.Command{Report: &r})
		cancel()
		if err == nil && answer.ReportAnswer != nil {
			err = a.handleReportAnswer(*answer.ReportAnswer)
			if err == nil && a.fleetBans != nil {
				err = a.fleetBans.update(answer.ReportAnswer.Word, nil, asked)
			}
		}
		wait := reportInterval
		if err != nil || r.QueryOnly {
			wait = reportRetryDelay + time.Duration(randv2.Int64N(int64(reportRetryDelay)))
			if err == nil {
				wait = 0 // the agent has its tokens now and can send a full report
			}
		}
		select {
		case <-ctx.Done():
		case <-a.recovery.reportNeeded:
		case <-time.After(wait):
		}
	}
}

// recoveryState returns the held instances and why they are held.
func (a *Agent) recoveryState() protocol.Recovery {
	a.mu.RLock()
	defer a.mu.RUnlock()
	m := &a.recovery
	life := a.book.AgentStart()
	r := protocol.Recovery{
		Agent: a.cfg.Name, Memory: m.kind.String(), Forgetful: life.MayLackState, StateDirID: life.StateDirID, Starts: life.Starts,
		Council: [...]string{"none", "silent", "answered"}[m.council], Held: []protocol.HeldInstance{},
	}
	for _, name := range a.unitNames {
		h := m.held[name]
		if h == nil {
			continue
		}
		held := protocol.HeldInstance{Instance: name, Since: h.since, Reason: h.verdict.Reason, Running: a.units[name].currentView().token != ""}
		if h.verdict.Until > 0 {
			held.Until = m.began.Add(h.verdict.Until)
		}
		r.Held = append(r.Held, held)
	}
	return r
}

// decide applies an operator's decision on a held instance.
func (a *Agent) decide(name string, up bool, by string) error {
	if a.units[name] == nil {
		return &protocol.Error{Code: protocol.CodeNotFound, Instance: name, Text: fmt.Sprintf("no instance %q is known here", name)}
	}
	a.commitMu.Lock()
	a.mu.RLock()
	i, _ := a.book.Instance(name)
	waits := a.recovery.held[name] != nil
	newest, program := i.Generation, i.Program
	for _, w := range a.recovery.sources[name] {
		if w.Generation >= newest && w.Program != "" {
			program = w.Program
		}
		newest = max(newest, w.Generation)
	}
	a.mu.RUnlock()
	if !waits {
		a.commitMu.Unlock()
		return &protocol.Error{Code: protocol.CodeConflict, Instance: name, Text: fmt.Sprintf("%s is not held: another operator or the council has decided; use start or drain", name)}
	}
	_, err := a.commitLocked(agentstate.Entry{Adopt: &agentstate.Adopt{Instances: map[string]agentstate.DesiredState{name: {Up: up, Generation: newest + 1, Program: program}}, Source: "operator " + by}})
	a.commitMu.Unlock()
	if err != nil {
		return err
	}
	a.log.Info("an operator decided on a held instance", "instance", name, "up", up, "operator", by)
	a.releaseHeld([]string{name})
	return nil
}
