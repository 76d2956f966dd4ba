package bodyrate

import (
	"sync"
	"time"

	"otterstep/internal/sockbuf"
)

// Arrival says how long a client waits for an answer that it expects once it has written its body's last byte.
//
// A client has written that byte long before it is read here where the server takes the body slowly: the systems of both
// sides buffer megabytes. So its time counts from the earliest moment at which it may have written the rest of the body. What
// arrives later shows that it had not: a read that has to wait, or more bytes than the buffers held at that moment.
type Arrival struct {
	Length int64         // of the body; -1 if not known
	Answer time.Duration // that the client waits for the answer
	From   time.Time     // since when the rest of the body is read at the server's pace
	// Connection returns the state of the client's connection; nil if that says nothing of the body.
	Connection func() sockbuf.State
	// Ahead is the most that the client can have written beyond what has arrived here.
	Ahead int64
	Due   func() // called once the answer is due in DueAhead although the body was not read to its end
}

const (
	// DueAhead is how long before the end of the client's time Due is called.
	DueAhead = 100 * time.Millisecond
	// SenderBuffer is the most that a client's system buffers: the usual limit of Linux.
	SenderBuffer = 4 << 20
	// hadToWait is how long a read takes at least that waits for the client.
	hadToWait = time.Millisecond
	// looks at the connection that are made in the client's time.
	looks = 16
	// minLookInterval is the shortest time between two looks.
	minLookInterval = 5 * time.Millisecond
)

// look says how much the client can have written by a moment.
type look struct {
	at   time.Time
	most int64
}

// arrival tracks an Arrival. The zero value tracks nothing.
type arrival struct {
	mu       sync.Mutex
	set      Arrival
	started  time.Time // the earliest moment at which the client may have written the last byte; zero while it can't have
	received int64     // bytes of the body that were read
	reading  bool      // a read waits for the client, or returns what has arrived
	looks    []look    // the latest ones
	timer    *time.Timer
	ended    bool
}

// ExpectAnswer begins to count the client's time, until the body has ended.
func (r *Reader) ExpectAnswer(expected Arrival) {
	a := &r.arrival
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.set, a.received = expected, r.received
	a.observe(time.Now(), false)
	if !a.started.IsZero() {
		a.started = expected.From
	}
	a.timer = time.AfterFunc(a.untilNextLook(time.Now()), a.tick)
}

// TimeForAnswer returns how much of answer, the time that a client waits from its body's last byte on, is left. It is
// to be called when the body has been read to its end.
func (r *Reader) TimeForAnswer(answer time.Duration) time.Duration {
	r.arrival.mu.Lock()
	defer r.arrival.mu.Unlock()
	if r.arrival.started.IsZero() {
		return answer
	}
	return max(0, answer-time.Since(r.arrival.started))
}

// active reports whether the client's time is counted; mu must be held.
func (a *arrival) active() bool { return a.set.Due != nil && !a.ended }

// state returns the state of the client's connection; mu must be held.
func (a *arrival) state() sockbuf.State {
	if a.set.Connection == nil {
		return sockbuf.State{}
	}
	return a.set.Connection()
}

// beginRead records that a read begins, and reports whether it has to wait for the client unless the process holds some
// of its bytes.
func (a *arrival) beginRead() (empty bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reading = true
	return a.active() && a.state().Unread == 0
}

// endRead records the end of a read at now, by which received bytes of the body were read, and whether it had to wait.
func (a *arrival) endRead(now time.Time, waited bool, received int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reading = false
	if a.active() {
		a.received = received
		a.observe(now, waited)
	}
}

// tick looks at the connection, and calls Due when it is time.
func (a *arrival) tick() {
	a.mu.Lock()
	now := time.Now()
	if !a.active() {
		a.mu.Unlock()
		return
	}
	a.observe(now, a.reading && a.state().Unread == 0)
	next := a.untilNextLook(now)
	due := next <= 0
	if due {
		a.ended = true
	} else {
		a.timer.Reset(next)
	}
	a.mu.Unlock()
	if due {
		a.set.Due()
	}
}

// untilNextLook returns the time until the next look or until Due, whichever comes first; mu must be held.
func (a *arrival) untilNextLook(now time.Time) time.Duration {
	interval := max(a.set.Answer/looks, minLookInterval)
	if a.started.IsZero() {
		return interval
	}
	return min(interval, a.set.Answer-DueAhead-now.Sub(a.started))
}

// observe moves the earliest moment of the last byte by what is known at now. waits means that the client has not written
// more than what was read. mu must be held.
func (a *arrival) observe(now time.Time, waits bool) {
	state := a.state()
	if a.set.Length >= 0 {
		a.observeLength(now, waits, state)
		return
	}
	arrived := state.Arrived
	if arrived == 0 {
		arrived = a.received
	}
	switch {
	case waits || a.started.IsZero():
		a.started, a.looks = now, a.looks[:0]
	default:
		a.overtake(arrived)
	}
	most := arrived
	if !waits && !state.WindowOpen {
		most += a.set.Ahead
	}
	a.addLook(look{now, most})
}

// observeLength is observe for a body whose length is known.
func (a *arrival) observeLength(now time.Time, waits bool, state sockbuf.State) {
	if !waits && !a.started.IsZero() {
		return
	}
	a.started = time.Time{}
	if a.set.Length-a.received <= int64(state.Unread)+a.set.Ahead {
		a.started = now
	}
}

// overtake drops the looks by which the client can't have written all that has arrived: it was still writing then.
func (a *arrival) overtake(arrived int64) {
	kept := 0
	for i, seen := range a.looks {
		if seen.most < arrived {
			a.started, kept = seen.at, i+1
		}
	}
	a.looks = append(a.looks[:0], a.looks[kept:]...)
}

// addLook adds a look unless the latest one was just now. Of the oldest ones only the first matters, so the number is
// bounded.
func (a *arrival) addLook(latest look) {
	const most = 2 * looks
	interval := max(a.set.Answer/looks, minLookInterval)
	if n := len(a.looks); n > 0 && latest.at.Sub(a.looks[n-1].at) < interval/2 || n == most {
		return
	}
	a.looks = append(a.looks, latest)
}

// end stops the call of Due.
func (a *arrival) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.timer != nil {
		a.timer.Stop()
	}
}
