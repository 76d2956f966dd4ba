package bodyrate

import (
	"sync"
	"time"
)

// Arrival says how long a client waits for an answer that it expects once it has written its body's last byte.
//
// A client has written that byte long before it is read here where the server takes the body slowly: the systems of both
// sides buffer megabytes. So its time counts from the earliest moment at which the rest of the body may have been in those
// buffers. A read that has to wait shows that it was not: the client is still writing.
type Arrival struct {
	Length int64         // of the body
	Answer time.Duration // that the client waits for the answer
	Unread func() int    // bytes that wait in the system's buffer of the connection
	Due    func()        // called once the answer is due in DueAhead although the body was not read to its end
}

const (
	// DueAhead is how long before the end of the client's time Due is called.
	DueAhead = 100 * time.Millisecond
	// senderBuffer is the most that the client's system buffers: the usual limit of Linux.
	senderBuffer = 4 << 20
	// hadToWait is how long a read takes at least that waits for the client.
	hadToWait = time.Millisecond
)

// arrival tracks an Arrival. The zero value tracks nothing.
type arrival struct {
	mu      sync.Mutex
	set     Arrival
	started time.Time   // when the client may have written the last byte; zero while it can't
	timer   *time.Timer // calls Due
	ended   bool
}

// ExpectAnswer begins to count the client's time, until the body has ended.
func (r *Reader) ExpectAnswer(a Arrival) {
	if a.Length < 0 || a.Unread == nil {
		return
	}
	r.arrival.mu.Lock()
	r.arrival.set = a
	r.arrival.mu.Unlock()
	r.arrival.observe(time.Now(), false, r.received)
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

// nothingUnread reports whether the system holds no bytes of the client's, so that a read has to wait unless the
// process holds some.
func (a *arrival) nothingUnread() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.set.Due != nil && !a.ended && a.set.Unread() == 0
}

// observe records that the body was read up to received at now, by a read that had to wait or not.
func (a *arrival) observe(now time.Time, waited bool, received int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.set.Due == nil || a.ended {
		return
	}
	if waited || a.started.IsZero() {
		if a.started = (time.Time{}); a.set.Length-received <= int64(a.set.Unread())+senderBuffer {
			a.started = now
			a.schedule(a.set.Answer - DueAhead)
		}
	}
}

// schedule sets the time of Due; mu must be held.
func (a *arrival) schedule(after time.Duration) {
	if a.timer == nil {
		a.timer = time.AfterFunc(max(0, after), a.set.Due)
		return
	}
	a.timer.Reset(max(0, after))
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
