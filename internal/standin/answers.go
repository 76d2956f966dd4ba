package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// countingConn is a client's connection that parses what is read from it and compares the
// number of complete answers with that of requests. net/http silently drops an unsolicited
// answer, so that a second answer to one request would go unnoticed.
type countingConn struct {
	net.Conn
	pipe    *io.PipeWriter
	onExtra func(id string) // called for each answer without a request

	mu      sync.Mutex
	id      string // of the latest request
	pending int    // requests without an answer
}

// countAnswers wraps a dial function of net/http so that extra is called, on any goroutine, with
// the ID of a request that was answered more than once.
func countAnswers(dial func(ctx context.Context, network, addr string) (net.Conn, error), extra func(id string)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		out, in := io.Pipe()
		a := &countingConn{Conn: c, pipe: in, onExtra: extra}
		go a.countResponses(out)
		return a, nil
	}
}

// noteRequest records a request that is sent on the connection.
func (a *countingConn) noteRequest(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.id = id
	a.pending++
}

// Read implements net.Conn.
func (a *countingConn) Read(p []byte) (int, error) {
	n, err := a.Conn.Read(p)
	if n > 0 {
		_, _ = a.pipe.Write(p[:n]) // fails only after countResponses has returned
	}
	return n, err
}

// Close implements net.Conn.
func (a *countingConn) Close() error {
	a.pipe.Close()
	return a.Conn.Close()
}

// countResponses reads answers until the connection ends or sends something else.
func (a *countingConn) countResponses(from *io.PipeReader) {
	defer from.Close()
	in := bufio.NewReader(from)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil {
			return
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		a.mu.Lock()
		a.pending--
		unrequested, id := a.pending < 0, a.id
		a.mu.Unlock()
		if unrequested {
			a.onExtra(id)
		}
	}
}
