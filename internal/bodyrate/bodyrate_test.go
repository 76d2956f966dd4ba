package bodyrate

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

const minRate = 32 << 10

// A client that sends its body at 64 kB/s is accepted, for any time; one that sends at half the minimum rate is cut
// off, and so is one that pauses for longer than is permitted. Without the rate only the pause counts.
func TestMinimumRate(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond int
		every     time.Duration
		pause     time.Duration
		waived    bool
		seconds   int
		whole     bool
	}{
		"64 kB/s":                    {perSecond: 64_000, every: 100 * time.Millisecond, seconds: 10, whole: true},
		"64 kB/s for nine minutes":   {perSecond: 64_000, every: 100 * time.Millisecond, seconds: 540, whole: true},
		"half the minimum":           {perSecond: minRate / 2, every: 100 * time.Millisecond, seconds: 10},
		"pauses of 1 s":              {perSecond: 64_000, every: time.Second, pause: 1100 * time.Millisecond, seconds: 60, whole: true},
		"pauses that are too long":   {perSecond: 64_000, every: time.Second, pause: 900 * time.Millisecond, seconds: 60},
		"any rate":                   {perSecond: 10, every: time.Second, pause: 1100 * time.Millisecond, waived: true, seconds: 60, whole: true},
		"any rate, too long a pause": {perSecond: 10, every: time.Second, pause: 900 * time.Millisecond, waived: true, seconds: 60},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in, out := net.Pipe()
				ended := make(chan struct{})
				defer func() { in.Close(); <-ended }()
				parts := int(time.Duration(c.seconds) * time.Second / c.every)
				part := int(float64(c.perSecond) * c.every.Seconds())
				go func() {
					defer close(ended)
					defer out.Close()
					for range parts {
						time.Sleep(c.every) // of the test's own clock
						if _, err := out.Write(make([]byte, part)); err != nil {
							return
						}
					}
				}()
				r := NewReader(in, http.NewResponseController(&connResponseWriter{in}), Limits{BytesPerSecond: minRate, Grace: 2 * time.Second, Pause: c.pause})
				if c.waived {
					r.WaiveRate()
				}
				n, err := io.Copy(io.Discard, r)
				if whole := err == nil && n == int64(parts*part); whole != c.whole {
					t.Errorf("received %d bytes, %v", n, err)
				}
			})
		})
	}
}

// connResponseWriter is a ResponseWriter that supports deadlines by way of its connection.
type connResponseWriter struct{ net.Conn }

func (*connResponseWriter) Header() http.Header           { return http.Header{} }
func (*connResponseWriter) WriteHeader(int)               {}
func (d *connResponseWriter) Write(b []byte) (int, error) { return d.Conn.Write(b) }

// deadlineRecorder is a ResponseWriter that counts the deadlines that are set through it.
type deadlineRecorder struct {
	connResponseWriter
	set int
}

func (d *deadlineRecorder) SetReadDeadline(time.Time) error {
	d.set++
	return nil
}

// Guards against a crash: over HTTP/2 net/http takes the ResponseWriter apart once its handler has returned, while an
// attempt may still stop the body.
func TestDetachedReaderSetsNoDeadline(t *testing.T) {
	in, out := net.Pipe()
	defer in.Close()
	defer out.Close()
	w := &deadlineRecorder{}
	r := NewReader(in, http.NewResponseController(w), Limits{BytesPerSecond: minRate})
	r.Stop()
	if w.set != 1 {
		t.Fatalf("%d deadlines set by Stop", w.set)
	}
	r.Detach()
	r.Stop()
	if n, err := r.Read(make([]byte, 1)); n != 0 || err != ErrStopped || w.set != 1 {
		t.Errorf("%d bytes, %v, %d deadlines set behind the handler", n, err, w.set-1)
	}
}
