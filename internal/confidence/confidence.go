// Package confidence decides what knowledge of before is worth to a node that comes back: from
// who said it and how old it is to whether a server is confirmed, and how much of what was
// learnt still counts. It does no I/O and has no clock.
package confidence

import (
	"math"
	"time"

	"otterstep/policy"
)

const (
	// halfLife is when what was learnt counts half.
	halfLife = 10 * time.Minute
	// forgetAt is the weight below which nothing of it is used.
	forgetAt = 0.05
	// olderMost is the age from which an address is not used before discovery has named it: by
	// then it may belong to anybody.
	olderMost = 30 * 24 * time.Hour
	// bootSpare is how far the two clocks may lie apart.
	bootSpare = 2 * time.Second
)

// Stamp is a moment by both clocks: the wall clock, which may be set, and the time since the
// machine started, which is of use only while it runs on.
type Stamp struct {
	Wall      time.Time     `json:"wall"`
	Boot      string        `json:"boot"` // the id of the machine's start; "" if unknown
	SinceBoot time.Duration `json:"since_boot_ns"`
}

// Age is how old something is.
type Age struct {
	For  time.Duration
	Sure bool // one of the clocks is known to be right, as far as can be told
}

// Between gives the age of what was noted at then. A machine that has not started anew since tells it
// by its own time, whatever happened to the wall clock. Else the wall clock has to do; one that
// went back tells nothing.
func Between(then, now Stamp) Age {
	if then.Boot != "" && then.Boot == now.Boot && now.SinceBoot >= then.SinceBoot {
		return Age{now.SinceBoot - then.SinceBoot, true}
	}
	d := now.Wall.Sub(then.Wall)
	if then.Wall.IsZero() || d < -bootSpare {
		return Age{}
	}
	return Age{max(0, d), true}
}

// Standing is what is known of a server.
type Standing int

// The standings.
const (
	Unconfirmed  Standing = iota // known of before, and discovery has not been heard since
	Confirmed                    // discovery names it
	Gone                         // discovery does not name it any more
	Contradicted                 // discovery names it otherwise: started anew, or another is at its address
	TooOld                       // not used before discovery names it
)

// String names a standing as operators see it.
func (s Standing) String() string {
	return [...]string{"unconfirmed", "confirmed", "gone", "contradicted", "too old"}[s]
}

// Line is what a list says of a server.
type Line struct {
	UID, Endpoint string
	BootMs        int64
}

// Judge tells what a line of before is worth. named and at are discovery's lines for its uid and for
// its address, nil if there are none; heard tells whether discovery has been heard at all.
func Judge(l Line, age Age, heard bool, named, at *Line) Standing {
	switch {
	case heard && named == nil && at != nil && at.UID != l.UID:
		return Contradicted
	case heard && named == nil:
		return Gone
	case heard && (named.BootMs != l.BootMs || named.Endpoint != l.Endpoint):
		return Contradicted
	case heard:
		return Confirmed
	case !age.Sure || age.For > olderMost:
		return TooOld
	}
	return Unconfirmed
}

// Weight is how much what was learnt so long ago counts, from 1 to 0.
func Weight(a Age) float64 {
	if !a.Sure {
		return 0
	}
	w := math.Exp2(-float64(a.For) / float64(halfLife))
	if w < forgetAt {
		return 0
	}
	return w
}

// Fade gives what a node that has stopped had learnt, as it counts at a later time. fresh is what
// one that knows nothing starts with. What was open stays so, for as long as it was to be and with
// a single trial behind that: forgetting closes no breaker. What a server had earned or been
// spared is of its life then, which may be over, and so is load; neither counts. ages has how long each
// server has been running that is still listed, by the list that goes with the memory, 0 for
// one that was started long ago.
func Fade(m, fresh policy.Memory, a Age, ages map[policy.ServerID]time.Duration) policy.Memory {
	w := Weight(a)
	out := fresh // and with it what it admits
	toward := func(from, to float64) float64 { return from + (to-from)*w }
	if w > 0 && len(m.Classes) == len(fresh.Classes) {
		out.Limit = toward(fresh.Limit, m.Limit)
		out.LimitKnown = m.LimitKnown * w
		out.Bore = m.Bore * w
		out.LoneSeen = int(float64(m.LoneSeen) * w)
		out.Typical = toward(fresh.Typical, m.Typical)
		out.MeanSuccess, out.MeanLatency = toward(fresh.MeanSuccess, m.MeanSuccess), toward(fresh.MeanLatency, m.MeanLatency)
		out.Classes = nil
		for i, c := range m.Classes {
			f := fresh.Classes[i]
			out.Classes = append(out.Classes, policy.ClassMemory{
				Lone: toward(f.Lone, c.Lone), Yardstick: toward(f.Yardstick, c.Yardstick), LoneSeen: c.LoneSeen * w,
				Work: toward(f.Work, c.Work), Seen: c.Seen * w, Hint: toward(f.Hint, c.Hint), Hinted: c.Hinted * w,
			})
		}
		out.Kinds = nil
		for _, k := range m.Kinds {
			out.Kinds = append(out.Kinds, policy.KindMemory{Kind: k.Kind, Latency: k.Latency, Seen: k.Seen * w})
		}
		out.Keys = m.Keys
	}
	if w == 0 && len(m.Classes) == len(fresh.Classes) {
		// As a guess, which the first answer replaces, it is better than none: what one asks is known so.
		out.Classes = nil
		for i, c := range m.Classes {
			f := fresh.Classes[i]
			f.Lone, f.Work = c.Lone, c.Work
			out.Classes = append(out.Classes, f)
		}
	}
	out.Servers = nil
	for _, s := range m.Servers {
		age, listed := ages[s.Server]
		if !listed {
			continue
		}
		faded := policy.ServerMemory{Server: s.Server, Age: age}
		if w > 0 {
			faded.Lone, faded.LoneSeen = s.Lone, s.LoneSeen*w
		}
		if s.Open {
			faded.Open, faded.OpenFor, faded.Failures = true, s.OpenFor, s.Failures
			faded.ReopenIn = s.ReopenIn
			if a.Sure {
				faded.ReopenIn = max(0, s.ReopenIn-a.For)
			}
		}
		out.Servers = append(out.Servers, faded)
	}
	return out
}
