package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"otterstep/internal/clienttime"
	"otterstep/internal/conns"
	"otterstep/internal/operator"
)

// recordingTurn is a turn that records when the attempt begins.
type recordingTurn struct {
	fixedTurn
	at chan time.Time
}

func (b recordingTurn) Begin() bool {
	b.at <- time.Now()
	return true
}

// Guards against an X-Time-Left that exceeds what the client has left: the time for the connect must be deducted. The
// connect takes 50 ms here, and the header is compared with the measured time.
func TestTimeLeftExcludesConnect(t *testing.T) {
	t.Parallel()
	h := newSlowHandshake(t)
	up := &upstream{pool: conns.New(conns.Options{MaxIdle: time.Hour, ConnectTimeout: testTimeout, MaxConns: 1, TLS: h.config})}
	t.Cleanup(up.pool.Close)
	begins, wait := recordingTurn{permit, make(chan time.Time, 1)}, 10*time.Second
	began := time.Now()
	go up.roundTrip(t.Context(), at(h.addr), get(), began.Add(wait), begins)
	<-h.connecting
	<-time.After(time.Until(began.Add(50 * time.Millisecond)))
	close(h.gate)
	left, err := strconv.ParseFloat(<-h.timeLeft, 64)
	if err != nil {
		t.Fatal(err)
	}
	if most := wait - (<-begins.at).Sub(began) + time.Millisecond; left > most.Seconds() || left < 1 {
		t.Errorf("X-Time-Left is %.3f s, want at most the time left when the attempt began, %v", left, most)
	}
}

// Guards against a keyed request that runs twice because a retry reaches its server after the deduplication window: a
// further attempt is made only if even the longest permitted connect ends within the window. Here the first attempt
// fails 150 ms after it arrives. The shorter window ends 50 ms after the longest connect from that point.
func TestRetryStaysWithinDedupWindow(t *testing.T) {
	t.Parallel()
	for what, c := range map[string]struct {
		window   string
		attempts int64
	}{
		"a connect could exceed it": {"5200", 1},
		"a connect could not":       {"60000", 2},
	} {
		s := newServer(t, func(n int64, _ *http.Request, conn net.Conn) bool {
			if n == 1 {
				<-time.After(150 * time.Millisecond)
				return false
			}
			io.WriteString(conn, ok("x"))
			return true
		})
		addr, _ := startNodeConfigured(t, newRegistry(t, listedTarget(s, "s1"), listedTarget(s, "s2")), operator.File{}, Reloads{}, quiet(), func(cfg *Config) {
			cfg.Site = siteOf(t, strings.Replace(settings, "6000", c.window, 1))
		})
		code, _, _ := do(t, clientRequest(t, addr, "push", "2.9"))
		if n := s.requests.Load(); n != c.attempts || (code == http.StatusOK) != (c.attempts == 2) {
			t.Errorf("%s: %d attempts, answered %d; want %d", what, n, code, c.attempts)
		}
	}
}

// Guards against truncated answers to HTTP/1.0 clients: since these cannot detect truncation without a length, an answer
// without a length that pauses and is then reset must not reach them. One that ends normally does.
func TestHTTP10ClientGetsNoTruncatedAnswer(t *testing.T) {
	t.Parallel()
	for _, reset := range []bool{true, false} {
		s := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nmade ")
			if reset {
				<-time.After(2 * clienttime.MaxPause) // an HTTP/1.1 client would have received the first part by now
				c.(*net.TCPConn).SetLinger(0)
				return false
			}
			io.WriteString(c, "here")
			return false
		})
		addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
		c := connect(t, addr)
		c.send(t, strings.Replace(requestText(t, addr, "book", "2.9"), "HTTP/1.1", "HTTP/1.0", 1))
		c.SetReadDeadline(time.Now().Add(testTimeout))
		text, err := io.ReadAll(c.in)
		whole := strings.HasSuffix(string(text), "\r\n\r\nmade here") && strings.Contains(string(text), " 200 ")
		if reset && (err != nil && !errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(string(text), " 200 ")) || !reset && !whole {
			t.Errorf("reset %v: %q, %v", reset, text, err)
		}
	}
}
