package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// pacedAnswer is an answer that a server writes in pieces at an even pace.
type pacedAnswer struct {
	class string
	left  time.Duration // the client's time
	head  string
	body  string // with its framing
	size  int    // of the body without its framing

	headPiece int // size of the pieces; 0: in one piece
	piece     int
	every     time.Duration
	bodyDelay time.Duration
}

// aims are the times in which the classes' answers should begin.
var aims = map[string]time.Duration{"read": 580 * time.Millisecond, "push": 750 * time.Millisecond, "book": 750 * time.Millisecond}

// chunked frames a body as one chunk.
func chunked(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }

// longAnswers are answers of over 64 KiB without a length, whose server needs longer for them than their clients wait.
func longAnswers() map[string]pacedAnswer {
	answers := map[string]pacedAnswer{
		"steady, 90 kB/s":         {class: "read", left: 580 * time.Millisecond, size: 150_000, piece: 900, every: 10 * time.Millisecond},
		"fine-grained, 70 kB/s":   {class: "push", left: 750 * time.Millisecond, size: 120_000, piece: 70, every: time.Millisecond},
		"in bursts, 40 kB/s":      {class: "read", left: 600 * time.Millisecond, size: 100_000, piece: 2400, every: 60 * time.Millisecond},
		"a late body, 90 kB/s":    {class: "read", left: 600 * time.Millisecond, size: 150_000, piece: 900, every: 10 * time.Millisecond, bodyDelay: 400 * time.Millisecond},
		"a short time, 90 kB/s":   {class: "read", left: 200 * time.Millisecond, size: 100_000, piece: 900, every: 10 * time.Millisecond},
		"pieces within the pause": {class: "read", left: 1400 * time.Millisecond, size: 100_000, piece: 5400, every: 90 * time.Millisecond},
	}
	all := map[string]pacedAnswer{}
	for name, a := range answers {
		body := strings.Repeat("x", a.size)
		a.head, a.body = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunked(body)
		all[name+", chunked"] = a
		a.head, a.body = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body
		all[name+", to the close"] = a
	}
	return all
}

// shortAnswers are answers that come whole within their clients' time, with long pauses.
func shortAnswers() map[string]pacedAnswer {
	const left = 1400 * time.Millisecond
	head := func(size int) string { return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size) }
	small := strings.Repeat("x", 3000)
	return map[string]pacedAnswer{
		"a head in pieces":                 {class: "book", left: left, head: head(3000), body: small, size: 3000, headPiece: 4, every: 50 * time.Millisecond},
		"a head in pieces, without length": {class: "book", left: left, head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunked(small), size: 3000, headPiece: 6, every: 50 * time.Millisecond},
		"a pause behind the head":          {class: "book", left: left, head: head(3000), body: small, size: 3000, bodyDelay: 500 * time.Millisecond},
		"a piece every 0.35 s":             {class: "book", left: left, head: head(300), body: small[:300], size: 300, piece: 100, every: 350 * time.Millisecond},
		"a piece every 0.35 s, read":       {class: "read", left: left, head: head(300), body: small[:300], size: 300, piece: 100, every: 350 * time.Millisecond},
	}
}

// write writes the answer at its pace.
func (a pacedAnswer) write(c net.Conn) {
	writeInPieces(c, a.head, a.headPiece, a.every)
	<-time.After(a.bodyDelay)
	writeInPieces(c, a.body, a.piece, a.every)
}

func writeInPieces(c net.Conn, text string, piece int, every time.Duration) {
	if piece == 0 {
		piece = len(text)
	}
	ticker := time.NewTicker(max(every, time.Millisecond))
	defer ticker.Stop()
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		if text = text[n:]; len(text) > 0 {
			<-ticker.C
		}
	}
}

// startPacedServer starts a server that gives the answer that the request's query names, and returns its address.
func startPacedServer(t *testing.T, answers map[string]pacedAnswer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answers[r.URL.Query().Get("answer")].write(c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// startNodeBefore starts the program before servers at one address, and returns the program's address.
func startNodeBefore(t *testing.T, servers int, endpoint string) string {
	t.Helper()
	addr, discovery := freeAddress(t), startDiscovery(t, servers, endpoint)
	var log bytes.Buffer
	cmd := program(configFile(t, func(c map[string]any) {
		c["listen"], c["discovery"] = addr, discovery
		c["settings"] = map[string]any{"Classes": []any{
			map[string]any{"Name": "read", "DeadlineMs": 1400, "PromiseMs": 580, "Effect": "pure"},
			map[string]any{"Name": "push", "DeadlineMs": 1900, "PromiseMs": 750, "Effect": "token", "DedupScope": "all", "KeyTtlMs": 6000},
			map[string]any{"Name": "book", "DeadlineMs": 1900, "PromiseMs": 750, "Effect": "side_effect"},
		}, "Limits": map[string]any{"MaxAttempts": 2, "SecondCopies": true, "Cancel": true}}
	}))
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails only if it has ended
		_ = cmd.Wait()
	})
	awaitUp(t, addr, &log)
	return addr
}

// ask asks for an answer at addr, and reads it whole. first is when its head came.
func (a pacedAnswer) ask(t *testing.T, addr, name string) (first time.Duration, code, size int, err error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/"+a.class+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.URL.RawQuery = "answer=" + strings.ReplaceAll(name, " ", "%20")
	r.Header.Set("X-Correlation-Id", name)
	r.Header.Set("X-Service-Class", a.class)
	r.Header.Set("X-Time-Left", fmt.Sprintf("%.3f", a.left.Seconds()))
	switch a.class {
	case "push":
		r.Method = http.MethodPost
		r.Header.Set("Idempotency-Key", "key of "+name)
	case "book":
		r.Method = http.MethodPost
	}
	began := time.Now()
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, 0, 0, err
	}
	defer resp.Body.Close()
	first = time.Since(began)
	text, err := io.ReadAll(resp.Body)
	return first, resp.StatusCode, len(text), err
}

// playPacedAnswers asks a node for all answers at once, and checks that each comes whole and begins in time: long ones within
// their class's aim.
func playPacedAnswers(t *testing.T, answers map[string]pacedAnswer) {
	addr := startNodeBefore(t, 4*len(answers), startPacedServer(t, answers))
	t.Run("all", func(t *testing.T) {
		for name, a := range answers {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				first, code, size, err := a.ask(t, addr, name)
				due := a.left
				if a.size > 64<<10 {
					due = min(due, aims[a.class])
				}
				if err != nil || code != http.StatusOK || size != a.size || first > due {
					t.Errorf("%d behind %v, due in %v, %d of %d bytes, %v", code, first, due, size, a.size, err)
				}
			})
		}
	})
}

// Guards against long answers that are thrown away at the end of their client's time while a sound server still writes
// them.
func TestSlowLongAnswersArriveWhole(t *testing.T) { playPacedAnswers(t, longAnswers()) }

// Guards against answers that are given up because a sound server pauses within them, although the client still waits.
func TestPausingShortAnswersArriveWhole(t *testing.T) { playPacedAnswers(t, shortAnswers()) }
