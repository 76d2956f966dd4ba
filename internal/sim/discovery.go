package sim

import (
	"time"

	"otterstep/policy"
)

// discovery delivers the server list to nodes. It either pushes changes or, with
// Options.Pull, is a single service that handles the nodes' calls one at a time. It may be
// unavailable or return a stale list. The rule that a node which does not ask counts as told
// anyway is not modelled: the rule checks use what a node has actually received.
type discovery struct {
	world    *World
	down     bool
	stale    bool                  // changes are not listed
	queued   int                   // calls that are queued or in progress
	rejected int                   // calls rejected because they would have waited too long
	calls    map[time.Duration]int // calls in each tenth of a second
}

const tenth = 100 * time.Millisecond

// sendInitialList gives a node that has just started its initial list: the current one, or, where it
// must query discovery, the same as a cached list.
func (d *discovery) sendInitialList(n *node) {
	kind := policy.ListFull
	if d.world.opt.Pull || d.down && d.world.opt.SavedState != nil {
		kind = policy.ListCached
	}
	if n.incarnation > 1 && kind == policy.ListCached && (d.world.opt.StartEmpty || d.world.opt.SavedState != nil) {
		n.restore()
		return
	}
	n.members(kind, d.world.servers)
}

// publish publishes changes and delivers them to each watching node after a random delay.
func (d *discovery) publish(kind policy.ListKind, servers []*Server) {
	if d.down || d.stale {
		return
	}
	for _, s := range servers {
		s.listed = s.opt.Entry
	}
	for _, n := range d.world.nodes {
		if d.world.opt.Pull && !n.watching {
			continue
		}
		incarnation := n.incarnation
		d.world.engine.After(d.world.opt.ListDelay.Draw(n.rng), func() {
			if n.incarnation == incarnation {
				n.members(kind, servers)
			}
		})
	}
}

// handleCall handles a node's call for the list and for a watch of later changes.
func (d *discovery) handleCall(n *node) {
	w, incarnation := d.world, n.incarnation
	answer := func(kind policy.ListKind, servers []*Server) {
		if n.incarnation == incarnation && !n.down {
			n.watching = kind != policy.ListFailed
			n.members(kind, servers)
		}
	}
	d.calls[w.engine.Now().Truncate(tenth)]++
	latency := w.opt.Net.Latency.Draw(n.rng)
	wait := time.Duration(d.queued+1) * w.opt.Call
	if wait > w.opt.MaxWait {
		d.rejected++
	}
	if d.down || wait > w.opt.MaxWait {
		w.engine.After(2*latency, func() { answer(policy.ListFailed, nil) })
		return
	}
	d.queued++
	w.engine.After(latency+wait, func() {
		d.queued--
		if d.down {
			answer(policy.ListFailed, nil)
			return
		}
		w.engine.After(latency, func() { answer(policy.ListFull, w.servers) })
	})
}

// applyFault begins or ends a fault of discovery.
func (d *discovery) applyFault(what string, on bool) {
	if what == "stale" {
		d.stale = on
	} else if d.down = on; on && d.world.opt.Pull {
		for _, n := range d.world.nodes { // break the nodes' watches
			if n.watching {
				n.watching = false
				n.members(policy.ListFailed, nil)
			}
		}
	}
	if !on {
		d.publish(policy.ListFull, d.world.servers) // publish everything that has changed meanwhile
	}
}
