package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// answers reads along on a client's connection and counts whole answers against requests:
// net/http drops an answer that nobody asked for, and a second one to the same request is
// just that.
type answers struct {
	net.Conn
	pipe  *io.PipeWriter
	extra func(id string) // called for each answer beyond the requests

	mu    sync.Mutex
	id    string // of the latest request
	owing int    // requests that have no answer yet
}

// countAnswers dials as net/http does, and has extra called, on any goroutine, with the id
// of the request that was answered once more.
func countAnswers(dial func(ctx context.Context, network, addr string) (net.Conn, error), extra func(id string)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		out, in := io.Pipe()
		a := &answers{Conn: c, pipe: in, extra: extra}
		go a.count(out)
		return a, nil
	}
}

// asked notes a request that goes out on the connection.
func (a *answers) asked(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.id = id
	a.owing++
}

// Read implements net.Conn.
func (a *answers) Read(p []byte) (int, error) {
	n, err := a.Conn.Read(p)
	if n > 0 {
		_, _ = a.pipe.Write(p[:n]) // fails only once the counting has ended
	}
	return n, err
}

// Close implements net.Conn.
func (a *answers) Close() error {
	a.pipe.Close()
	return a.Conn.Close()
}

// count reads answers until the connection ends or what comes is none.
func (a *answers) count(from *io.PipeReader) {
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
		a.owing--
		over, id := a.owing < 0, a.id
		a.mu.Unlock()
		if over {
			a.extra(id)
		}
	}
}
