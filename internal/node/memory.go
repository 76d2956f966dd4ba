package node

import (
	"fmt"

	"otterstep/internal/framing"
	"otterstep/internal/membudget"
	"otterstep/internal/web"
)

const (
	// programBytes is what the process holds beside Go's heap: the program's own pages.
	programBytes = 12 << 20
	// usablePart of the limit is used at most: the node is killed beyond the whole.
	usablePart = 0.9
	// collectedPart of Go's memory limit is a bound for the collector, as a part of the system's memory is not Go's.
	collectedPart = 0.75
	// clientPart of Go's memory limit is for what clients make the node hold; the rest is for the node and for garbage.
	clientPart = 2.0 / 3
	// connectionBytes is what net/http and the system's poller hold for a client's connection.
	connectionBytes = 12 << 10
	// connectionPart of the clients' memory is for connections at most.
	connectionPart = 0.5
	// requestBytes is what a request in progress holds besides its head and body: goroutines, a connection to a server,
	// small buffers.
	requestBytes = 16 << 10
	// uploadBytes is what a body that is streamed to its server holds besides: goroutines, timers, the buffers of two
	// connections that are in use at once.
	uploadBytes = 16 << 10
	// unlimitedMB is the memory that is assumed if the configuration names none.
	unlimitedMB = 512

	maxHead       = maxHeader + 4<<10 // net/http's own limit for a head, with its line
	maxHeadFields = 100
)

// memoryLimit returns the garbage collector's memory limit, in bytes.
func memoryLimit(mb int) int64 {
	limit := float64(int64(mb) << 20)
	return int64(max(min(collectedPart*limit, usablePart*limit-programBytes), limit/4))
}

// bodyLimit returns the limit on the total size of buffered large request bodies, in bytes.
func bodyLimit(mb int) int64 { return int64(mb) << 20 / 4 }

// clientMemory divides the memory that clients can make the node hold. Connections have a part of it for good; the rest
// is shared.
type clientMemory struct {
	mb             int // the node's limit
	maxConnections int

	connections *membudget.Account // of all fronts for HTTP, in a budget of their own

	budget   *membudget.Budget
	heads    *membudget.Account // incomplete heads
	requests *membudget.Account // requests in progress
	bodies   *membudget.Account // bodies that are kept for further attempts
	buffers  *membudget.Account // for streaming bodies and answers
	calls    *membudget.Account // SIP's requests, and datagrams that wait
}

// newClientMemory divides the memory of a node with a limit of mb, whose fronts for HTTP have so many descriptors for their
// clients.
func newClientMemory(mb, descriptors int) *clientMemory {
	if mb <= 0 {
		mb = unlimitedMB
	}
	m := &clientMemory{mb: mb}
	all := clientPart * float64(memoryLimit(mb))
	m.maxConnections = min(descriptors, int(connectionPart*all/connectionBytes))
	m.connections = membudget.New(int64(m.maxConnections)*connectionBytes).Account("connections", 1)
	m.budget = membudget.New(m.shared(1))
	m.heads = m.budget.Account("heads", 0.25)
	m.requests = m.budget.Account("requests", 1)
	m.bodies = m.budget.Account("bodies", min(0.6, float64(bodyLimit(mb))/float64(m.shared(1))))
	m.buffers = m.budget.Account("buffers", 0.5)
	m.calls = m.budget.Account("calls", 0.6)
	return m
}

// shared returns how many bytes are left beside the connections, if the process has a part of the node's memory.
func (m *clientMemory) shared(part float64) int64 {
	all := clientPart * float64(memoryLimit(m.mb))
	return int64(part * (all - float64(m.maxConnections)*connectionBytes))
}

// setPart sets the part of the node's memory that this process has, of two that act as one node.
func (m *clientMemory) setPart(part float64) { m.budget.SetLimit(m.shared(part)) }

// requestLimits returns the limits of requests at the platform's front.
func (m *clientMemory) requestLimits() framing.Limits {
	return framing.Limits{HeadBytes: maxHead, Fields: maxHeadFields, RequestBytes: requestBytes, Heads: m.heads, Requests: m.requests}
}

// MemoryWarning says that the memory of a configuration can't carry the connections of clients that its descriptors allow, or
// nothing.
func (c Config) MemoryWarning() string {
	if c.MemoryMB <= 0 {
		return ""
	}
	_, clients := splitDescriptors(c.Sockets - reservedDescriptors)
	m := newClientMemory(c.MemoryMB, clients)
	if m.maxConnections == clients {
		return ""
	}
	return fmt.Sprintf("limits: memory_mb = %d carries %d connections of clients, sockets = %d would allow %d", c.MemoryMB, m.maxConnections, c.Sockets, clients)
}

// web returns the part of the fronts for ordinary HTTP.
func (m *clientMemory) web() web.Memory {
	return web.Memory{
		MaxConnections: m.maxConnections, ConnectionBytes: connectionBytes, Connections: m.connections, Heads: m.heads, Requests: m.requests, Bodies: m.bodies, Buffers: m.buffers,
	}
}
