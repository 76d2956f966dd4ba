package bodyrate

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"otterstep/internal/sockbuf"
)

// Guards against answers that come late to uploads whose server takes them slowly, and against uploads that are given up
// while their client still writes: it is not known what the client has written, only what of it has arrived.
func TestClientsTimeBeginsWithItsLastByte(t *testing.T) {
	const (
		answer = time.Second
		ahead  = 4 << 20
	)
	for name, c := range map[string]struct {
		length    int64
		perSecond int // at which bytes arrive
		open      bool
		reading   bool          // the body is read, and the client sends nothing
		unread    int           // bytes that wait in the system's buffer
		due       time.Duration // within ten seconds; 0: never
	}{
		"nothing more arrives":                           {length: -1, unread: 1 << 20, due: answer - DueAhead},
		"nothing more arrives, with room":                {length: -1, unread: 1 << 20, open: true, due: answer - DueAhead},
		"the client writes on, with room":                {length: -1, unread: 1, perSecond: 64_000, open: true},
		"too little arrives to tell":                     {length: -1, unread: 1, perSecond: 64_000, due: answer - DueAhead},
		"more arrives than the client's buffer holds":    {length: -1, unread: 1, perSecond: 8 << 20},
		"the client pauses":                              {length: -1, reading: true},
		"the client pauses before the last bytes":        {length: 1 << 20, reading: true},
		"the last bytes may have been written":           {length: 1 << 20, unread: 1, due: answer - DueAhead},
		"the last bytes can't have been written":         {length: 1 << 30, unread: 1},
		"the last bytes may have been written, unknowns": {length: 1 << 20, due: answer - DueAhead},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in, out := net.Pipe()
				defer out.Close()
				r := NewReader(in, http.NewResponseController(&connResponseWriter{in}), Limits{BytesPerSecond: 1, Grace: time.Hour})
				began := time.Now()
				var due atomic.Int64
				r.ExpectAnswer(Arrival{Length: c.length, Answer: answer, From: began, Ahead: ahead, Due: func() { due.Store(int64(time.Since(began))) },
					Connection: func() sockbuf.State {
						arrived := int64(time.Since(began).Seconds() * float64(c.perSecond))
						return sockbuf.State{Unread: c.unread, Arrived: 1 + arrived, WindowOpen: c.open}
					}})
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					if c.reading {
						_, _ = io.ReadAll(r) // until the end of the test
					}
				}()
				time.Sleep(10 * time.Second) // of the test's own clock
				if got := time.Duration(due.Load()); got != c.due {
					t.Errorf("due after %v, want %v", got, c.due)
				}
				r.Stop()
				in.Close()
				<-ended
			})
		})
	}
}
