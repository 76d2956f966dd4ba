package web

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"otterstep/internal/h1"
	"otterstep/internal/passing"
	"otterstep/internal/web/fields"
	"otterstep/policy"
)

// relay passes an answer on while it comes. From its first byte on there is no way back:
// one that breaks ends the client's connection, or stream, so that it can't be taken for
// whole.
func (f *Front) relay(w http.ResponseWriter, r *http.Request, x *exchange, in *passing.Answer) {
	if in.Tunnel != nil {
		in.End(f.tunnel(w, r, x, in))
		return
	}
	f.streams.Add(1)
	defer f.streams.Add(-1)
	status := policy.Cancelled
	defer func() { in.End(status) }() // also if the client's connection panics
	copyHead(w, in.Head)
	if in.Trails && r.ProtoMajor < 2 {
		w.Header().Del("Content-Length")
		in.Length = -1
	}
	if in.Half {
		w.Header().Set("Connection", "close") // what is left of the body follows on it
	}
	control := http.NewResponseController(w)
	w.WriteHeader(in.Code)
	if in.Length < 0 { // the head is news already; and net/http gives short answers a length, and no trailers, else
		_ = control.Flush() // the first write tells if it failed
	}
	b := f.buffers.Get().(*[]byte)
	defer f.buffers.Put(b)
	switch err := in.Copy(x.ctx, w, f.opt.Limits.Stall.Duration, *b); {
	case errors.Is(err, passing.ErrGone):
		f.gone.Add(1)
		panic(http.ErrAbortHandler)
	case err != nil:
		status = policy.Reset
		f.cut.Add(1)
		panic(http.ErrAbortHandler)
	}
	trailer, err := in.Trailer()
	if err != nil {
		status = policy.Reset
		f.cut.Add(1)
		panic(http.ErrAbortHandler)
	}
	for name, values := range trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	status = policy.OK
}

// tunnel changes protocols: from then on bytes go both ways until both sides have ended, a
// side says nothing for too long, the time is up, or the drain ends it.
func (f *Front) tunnel(w http.ResponseWriter, r *http.Request, x *exchange, in *passing.Answer) policy.Status {
	f.tunnels.Add(1)
	defer f.tunnels.Add(-1)
	up := in.Tunnel
	up.Budget.N = h1.Unbounded
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return policy.Cancelled
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), f.opt.Limits.Tunnel.Duration)
	defer cancel()
	defer context.AfterFunc(f.ending, cancel)()
	header := in.Header.Clone()
	fields.RemoveHopByHop(header)
	header.Set("Connection", "Upgrade")
	header["Upgrade"] = in.Header["Upgrade"]
	_ = conn.SetDeadline(time.Time{})
	if _, err := buffered.WriteString("HTTP/1.1 101 Switching Protocols\r\n"); err == nil {
		_ = header.Write(buffered)
	}
	_, _ = buffered.WriteString("\r\n")
	if buffered.Flush() != nil {
		f.gone.Add(1)
		return policy.Cancelled
	}
	defer context.AfterFunc(ctx, func() {
		conn.SetDeadline(time.Unix(1, 0))
		up.SetDeadline(time.Unix(1, 0))
	})()
	var both sync.WaitGroup
	both.Go(func() {
		// What net/http has read ahead, then the connection itself: through net/http's reader
		// a client's end of sending would count as its leaving, and cut what still comes.
		ahead := io.LimitReader(buffered, int64(buffered.Reader.Buffered()))
		_, _ = f.copy(up, io.MultiReader(ahead, conn)) // how a side ends is the other's to see
		halfClose(up.Conn)
	})
	both.Go(func() {
		_, _ = f.copy(conn, up.In)
		halfClose(conn)
	})
	both.Wait()
	return policy.OK
}

// halfClose ends one direction, so that what still comes the other way is not lost; where
// that can't be, all of it.
func halfClose(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // it may have ended already
		return
	}
	c.Close()
}
