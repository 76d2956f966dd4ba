// Package staleness decides how far a restarted node can trust the state it saved earlier: whether a saved
// server is confirmed, given the age of the data and what discovery says, and how much weight the saved
// statistics still have. It does no I/O and has no clock.
package staleness

import (
	"math"
	"time"

	"otterstep/policy"
)

const (
	// halfLife is the age at which saved statistics count half.
	halfLife = 10 * time.Minute
	// minWeight is the weight below which saved statistics are not used.
	minWeight = 0.05
	// maxAddressAge is the age beyond which a saved address is not used before discovery has confirmed it:
	// it may belong to a different host by then.
	maxAddressAge = 30 * 24 * time.Hour
	// clockTolerance is how far the wall clock may have gone back before the age counts as unknown.
	clockTolerance = 2 * time.Second
)

// Timestamp is a point in time by two clocks: the wall clock, which may be set, and the time since boot, which is
// comparable only within one boot of the machine.
type Timestamp struct {
	Wall      time.Time     `json:"wall"`
	Boot      string        `json:"boot"` // the machine's boot ID; "" if unknown
	SinceBoot time.Duration `json:"since_boot_ns"`
}

// Age is the age of saved data.
type Age struct {
	Elapsed time.Duration
	Known   bool // the age is known, as far as can be determined
}

// AgeBetween returns the age at now of data saved at then. Within one boot of the machine it is measured by the
// time since boot, whatever happened to the wall clock. Otherwise the wall clock is used; if that went back,
// the age is unknown.
func AgeBetween(then, now Timestamp) Age {
	if then.Boot != "" && then.Boot == now.Boot && now.SinceBoot >= then.SinceBoot {
		return Age{now.SinceBoot - then.SinceBoot, true}
	}
	d := now.Wall.Sub(then.Wall)
	if then.Wall.IsZero() || d < -clockTolerance {
		return Age{}
	}
	return Age{max(0, d), true}
}

// Status is the status of a saved server.
type Status int

// The statuses.
const (
	Unconfirmed  Status = iota // saved, and discovery has not answered since
	Confirmed                  // listed by discovery
	Gone                       // no longer listed by discovery
	Contradicted               // listed by discovery with other data: it restarted, or its address belongs to another server
	Expired                    // not used before discovery lists it
)

// String returns the status as shown to operators.
func (s Status) String() string {
	return [...]string{"unconfirmed", "confirmed", "gone", "contradicted", "too old"}[s]
}

// ListEntry is a server's entry in a list.
type ListEntry struct {
	UID, Endpoint string
	BootMs        int64
}

// Classify returns the status of the saved entry l. named and at are discovery's entries for its UID and for
// its address, nil if there are none; heard reports whether discovery has answered at all.
func Classify(l ListEntry, age Age, heard bool, named, at *ListEntry) Status {
	switch {
	case heard && named == nil && at != nil && at.UID != l.UID:
		return Contradicted
	case heard && named == nil:
		return Gone
	case heard && (named.BootMs != l.BootMs || named.Endpoint != l.Endpoint):
		return Contradicted
	case heard:
		return Confirmed
	case !age.Known || age.Elapsed > maxAddressAge:
		return Expired
	}
	return Unconfirmed
}

// Weight returns the weight of statistics of the given age, from 1 to 0.
func Weight(a Age) float64 {
	if !a.Known {
		return 0
	}
	w := math.Exp2(-float64(a.Elapsed) / float64(halfLife))
	if w < minWeight {
		return 0
	}
	return w
}

// Decay returns the saved memory m of a stopped node, decayed to age a. fresh is the memory of a node that has
// learnt nothing; with decreasing weight, values move towards it.
//
// An open breaker stays open for its remaining time and is then followed by a single trial: decay never closes
// a breaker. What depends on a server's life at that time (credit earned, cold-start protection) or on load is
// dropped, because the server may have restarted and the load is over. ages maps each server that is still
// listed, by the list saved with the memory, to how long it has been running; 0 means that it started long ago.
func Decay(m, fresh policy.Memory, a Age, ages map[policy.ServerID]time.Duration) policy.Memory {
	w := Weight(a)
	out := fresh // including the admitted share
	blend := func(from, to float64) float64 { return from + (to-from)*w }
	if w > 0 && len(m.Classes) == len(fresh.Classes) {
		out.Limit = blend(fresh.Limit, m.Limit)
		out.GoodLimit = m.GoodLimit * w
		out.PeakServedRate = m.PeakServedRate * w
		out.UnloadedSamples = int(float64(m.UnloadedSamples) * w)
		out.TypicalLatency = blend(fresh.TypicalLatency, m.TypicalLatency)
		out.MeanSuccess, out.MeanLatency = blend(fresh.MeanSuccess, m.MeanSuccess), blend(fresh.MeanLatency, m.MeanLatency)
		out.Classes = nil
		for i, c := range m.Classes {
			f := fresh.Classes[i]
			out.Classes = append(out.Classes, policy.ClassMemory{
				Unloaded: blend(f.Unloaded, c.Unloaded), Baseline: blend(f.Baseline, c.Baseline), UnloadedSamples: c.UnloadedSamples * w,
				Work: blend(f.Work, c.Work), Samples: c.Samples * w, MeanHint: blend(f.MeanHint, c.MeanHint), HintSamples: c.HintSamples * w,
			})
		}
		out.Kinds = nil
		for _, k := range m.Kinds {
			out.Kinds = append(out.Kinds, policy.KindMemory{Kind: k.Kind, Latency: k.Latency, Samples: k.Samples * w})
		}
		out.Keys = m.Keys
	}
	if w == 0 && len(m.Classes) == len(fresh.Classes) {
		// The latency and work of a lone request remain a better initial guess than the defaults; the first answer
		// replaces them.
		out.Classes = nil
		for i, c := range m.Classes {
			f := fresh.Classes[i]
			f.Unloaded, f.Work = c.Unloaded, c.Work
			out.Classes = append(out.Classes, f)
		}
	}
	out.Servers = nil
	for _, s := range m.Servers {
		age, listed := ages[s.Server]
		if !listed {
			continue
		}
		decayed := policy.ServerMemory{Server: s.Server, Age: age}
		if w > 0 {
			decayed.Unloaded, decayed.UnloadedSamples = s.Unloaded, s.UnloadedSamples*w
		}
		if s.Open {
			decayed.Open, decayed.OpenFor, decayed.Failures = true, s.OpenFor, s.Failures
			decayed.ReopenIn = s.ReopenIn
			if a.Known {
				decayed.ReopenIn = max(0, s.ReopenIn-a.Elapsed)
			}
		}
		out.Servers = append(out.Servers, decayed)
	}
	return out
}
