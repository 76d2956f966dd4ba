package web

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"otterstep/internal/copybuffer"
	"otterstep/internal/h1"
	"otterstep/internal/streaming"
	"otterstep/internal/web/fields"
	"otterstep/policy"
)

// relay streams an answer to the client. Once it has begun it cannot be replaced: if it fails,
// the client's connection or HTTP/2 stream is aborted, so that the client does not take it
// for complete.
func (f *Front) relay(w http.ResponseWriter, r *http.Request, x *exchange, answer *streaming.Answer) {
	x.relaying.Store(true)
	x.body.WaiveRate() // the client has its answer; what it still sends takes as long as it likes
	if answer.Tunnel != nil {
		answer.Finish(f.tunnel(w, r, x, answer))
		return
	}
	f.streams.Add(1)
	defer f.streams.Add(-1)
	status := policy.Cancelled
	defer func() { answer.Finish(status) }() // also when this function panics with ErrAbortHandler
	copyHeader(w, answer.Head)
	if answer.TrailersWithLength && r.ProtoMajor < 2 {
		w.Header().Del("Content-Length")
		answer.Length = -1
	}
	if answer.RequestPending {
		w.Header().Set("Connection", "close") // the unread rest of the body follows on the connection
	}
	control := http.NewResponseController(w)
	w.WriteHeader(answer.Code)
	if answer.Length < 0 { // clients may wait for the head alone; and without it net/http gives short answers a length and no trailers
		_ = control.Flush() // a failure shows at the first write
	}
	b := copybuffer.Get(f.memory.Buffers)
	defer b.Release()
	switch err := answer.Copy(x.ctx, w, f.opt.Limits.Stall.Duration, b.Bytes); {
	case errors.Is(err, streaming.ErrClientGone):
		f.disconnects.Add(1)
		panic(http.ErrAbortHandler)
	case err != nil:
		status = policy.Reset
		f.truncated.Add(1)
		panic(http.ErrAbortHandler)
	}
	trailer, err := answer.Trailer()
	if err != nil {
		status = policy.Reset
		f.truncated.Add(1)
		panic(http.ErrAbortHandler)
	}
	for name, values := range trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	status = policy.OK
}

// tunnel switches protocols and copies bytes in both directions until both sides have closed,
// the maximum lifetime has passed, or the drain ends it.
func (f *Front) tunnel(w http.ResponseWriter, r *http.Request, x *exchange, answer *streaming.Answer) policy.Status {
	f.tunnels.Add(1)
	defer f.tunnels.Add(-1)
	upstream := answer.Tunnel
	upstream.ReadLimit.N = h1.NoReadLimit
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return policy.Cancelled
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), f.opt.Limits.Tunnel.Duration)
	defer cancel()
	defer context.AfterFunc(f.streamCtx, cancel)()
	header := answer.Header.Clone()
	fields.RemoveHopByHop(header)
	header.Set("Connection", "Upgrade")
	header["Upgrade"] = answer.Header["Upgrade"]
	_ = conn.SetDeadline(time.Time{})
	if _, err := buffered.WriteString("HTTP/1.1 101 Switching Protocols\r\n"); err == nil {
		_ = header.Write(buffered)
	}
	_, _ = buffered.WriteString("\r\n")
	if buffered.Flush() != nil {
		f.disconnects.Add(1)
		return policy.Cancelled
	}
	defer context.AfterFunc(ctx, func() {
		conn.SetDeadline(time.Unix(1, 0))
		upstream.SetDeadline(time.Unix(1, 0))
	})()
	var both sync.WaitGroup
	both.Go(func() {
		// Read what net/http has buffered, then the connection itself: net/http's reader would
		// treat the client's half-close as a disconnect and truncate the other direction.
		readAhead := io.LimitReader(buffered, int64(buffered.Reader.Buffered()))
		_, _ = f.copyBuffered(upstream, io.MultiReader(readAhead, conn)) // errors show as the end of the stream to the other side
		halfClose(upstream.Conn)
	})
	both.Go(func() {
		_, _ = f.copyBuffered(conn, upstream.In)
		halfClose(conn)
	})
	both.Wait()
	return policy.OK
}

// halfClose closes the write side, so that data in the other direction is not lost. It closes
// the connection if that is not supported.
func halfClose(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // it may be closed already
		return
	}
	c.Close()
}
