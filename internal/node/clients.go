package node

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// A connection that was idle for less than this is one that a client goes
// through in turn: a request may be on its way already, and would be lost.
const evictAfter = time.Second

// clients keeps the connections of clients within the node's descriptors. A
// connection that is not accepted would wait in the kernel, where its request
// counts as taken and goes unanswered. So while few are left, answers close
// their connections; beyond most the longest idle one is closed, and if that
// won't do, requests are refused at once. More than most+spare are never accepted.
type clients struct {
	most, spare int

	mu    sync.Mutex
	conns map[net.Conn]*client
	idle  list.List // of *client, the longest idle first
}

type client struct {
	conn    net.Conn
	idle    *list.Element // nil while a request is open or none came yet
	since   time.Time     // when it became idle
	evicted bool
}

func newClients(descriptors int) *clients {
	spare := descriptors / 8
	return &clients{most: descriptors - spare, spare: spare, conns: map[net.Conn]*client{}}
}

type clientKey struct{}

// context is http.Server's ConnContext: it lets a request find its connection.
func (g *clients) context(ctx context.Context, conn net.Conn) context.Context {
	c := &client{conn: conn}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[conn] = c
	return context.WithValue(ctx, clientKey{}, c)
}

// state is http.Server's ConnState.
func (g *clients) state(conn net.Conn, s http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.conns[conn]
	if c == nil {
		return // evicted
	}
	if c.idle != nil {
		g.idle.Remove(c.idle)
		c.idle = nil
	}
	switch s {
	case http.StateIdle:
		c.idle, c.since = g.idle.PushBack(c), time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(g.conns, conn)
	}
	if len(g.conns) > g.most {
		g.evict()
	}
}

// evict closes the longest idle connection if that is safe; it needs the lock.
func (g *clients) evict() {
	oldest := g.idle.Front()
	if oldest == nil {
		return
	}
	c := oldest.Value.(*client)
	if time.Since(c.since) < evictAfter {
		return
	}
	g.idle.Remove(oldest)
	c.idle, c.evicted = nil, true
	delete(g.conns, c.conn)
	c.conn.Close()
}

// verdict tells what is to become of a request.
type verdict struct {
	full    bool // no descriptors: refuse it
	evicted bool // its connection was closed while it came in: the client sends it again, so drop it
}

// admit is asked for each request.
func (g *clients) admit(ctx context.Context) verdict {
	c, _ := ctx.Value(clientKey{}).(*client)
	g.mu.Lock()
	defer g.mu.Unlock()
	return verdict{full: len(g.conns) > g.most, evicted: c != nil && c.evicted}
}

// crowded tells that few descriptors are left.
func (g *clients) crowded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) > g.most*3/4
}
