// Package proxy is a transaction-stateful SIP proxy (RFC 3261 section 16, RFC 6026,
// RFC 3581) without sockets, clock or goroutine: a Machine is stepped with messages,
// times and the words of the core, and acts through its Host. Which server a request
// outside a dialog goes to, whether it is tried again and what is refused is the core's
// to say; a request inside a dialog goes where its token pins it.
package proxy

import (
	"container/heap"
	"fmt"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"otterstep/internal/sip/message"
	"otterstep/internal/sip/token"
	"otterstep/internal/sip/transaction"
)

// Transport is how a message travels.
type Transport byte

// The transports.
const (
	UDP Transport = 1 + iota
	TCP
	TLS
)

// String gives a transport as Via and URIs name it.
func (t Transport) String() string {
	switch t {
	case UDP:
		return "UDP"
	case TCP:
		return "TCP"
	case TLS:
		return "TLS"
	}
	return fmt.Sprintf("transport %d", byte(t))
}

// Reliable tells whether a transport loses nothing.
func (t Transport) Reliable() bool { return t != UDP }

// Peer is where a message came from or goes to.
type Peer struct {
	Transport Transport
	Addr      netip.AddrPort
	Conn      uint64 // of a stream: the connection; 0 for any to Addr
	Port      uint16 // of a stream: where to connect to once that is gone; 0 for Addr's
}

// Class is one of the pool's classes of requests outside dialogs.
type Class int

// The classes, in the order of the pool's settings.
const (
	Calls Class = iota // INVITE
	Registers
	Subscribes
	Pings // OPTIONS
	Others
	Classes // how many there are
)

// String names a class as settings and operators do.
func (c Class) String() string {
	return [Classes]string{"invite", "register", "subscribe", "options", "other"}[c]
}

// ClassOf gives a method's class.
func ClassOf(method string) Class {
	switch method {
	case message.Invite:
		return Calls
	case message.Register:
		return Registers
	case message.Subscribe:
		return Subscribes
	case message.Options:
		return Pings
	}
	return Others
}

// Ask is a request that the core is to place.
type Ask struct {
	ID       uint64
	Class    Class
	Key      uint64
	Name     string
	Deadline time.Duration
}

// Host carries out what a Machine decides. Its methods come from within the Machine's
// own and must not call back into it.
type Host interface {
	// Transmit sends a message. What is known to have failed is told by Failed with id,
	// if that is not empty.
	Transmit(to Peer, id string, text []byte)
	// Submit hands a request to the core, whose Answer follows, unless Leave comes first.
	Submit(Ask)
	// Leave tells the core that nobody waits for a request any more.
	Leave(id uint64)
	// Finish tells the core how an attempt ended, once for each Attempt that was taken.
	Finish(attempt uint64, e End)
	// Taken tells the core that an attempt's server has let hear of itself.
	Taken(attempt uint64)
	// Started tells the core that an attempt's server rings.
	Started(attempt uint64)
}

// Limits bound what a Machine holds. All must be positive.
type Limits struct {
	Transactions int // open and lingering; a quarter of it is for requests inside dialogs
	PerSource    int // of those, begun outside dialogs, for each IPv4 address or IPv6 /64
}

// Options are what a Machine is made of.
type Options struct {
	Host       Host
	Timing     transaction.Timing
	Deadlines  [Classes]time.Duration
	Limits     Limits
	RetryAfter time.Duration // least; up to as much again is added, so that not all return at once
	Sealer     *token.Signer
	DialogFor  time.Duration // how long a token is good for
	Listen     map[Transport]netip.AddrPort
	Seed       [32]byte // of branches and tags: not to be guessed
	Wall       func(time.Duration) time.Time
}

// Machine is one proxy. It is not safe for concurrent use.
type Machine struct {
	o    Options
	rng  *rand.Rand
	seed maphash.Seed

	exchanges map[uint64]*exchange
	byKey     map[string]*exchange // server transactions by RFC 3261 section 17.2.3
	branches  map[string]*branch   // client transactions by method and branch
	attempts  map[uint64]*branch   // those that the core waits for
	sources   map[netip.Addr]int
	servers   map[uint64]Peer
	listed    bool
	draining  bool
	lastID    uint64
	timers    timers
	counts    Counts
}

// New makes a Machine.
func New(o Options) *Machine {
	return &Machine{
		o: o, rng: rand.New(rand.NewChaCha8(o.Seed)), seed: maphash.MakeSeed(),
		exchanges: map[uint64]*exchange{}, byKey: map[string]*exchange{}, branches: map[string]*branch{},
		attempts: map[uint64]*branch{}, sources: map[netip.Addr]int{}, servers: map[uint64]Peer{},
		counts: Counts{Refused: map[string]int64{}, Finals: map[int]int64{}, Ends: map[string]int64{}},
	}
}

// Servers takes the pool's list: all servers that are there, draining ones too. Dialogs
// at any other have lost their server.
func (m *Machine) Servers(list map[uint64]Peer) { m.servers, m.listed = list, true }

// Drain makes the Machine refuse requests outside dialogs from now on.
func (m *Machine) Drain() { m.draining = true }

// End gives all requests that have none their final response, as if their time were up.
func (m *Machine) End(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(m.exchanges)) {
		if x := m.exchanges[id]; x != nil && x.final == 0 {
			m.overdue(now, x)
		}
	}
}

// Due gives when Tick is to be called next; 0 for never.
func (m *Machine) Due() time.Duration {
	if len(m.timers) == 0 {
		return 0
	}
	return m.timers[0].due
}

// Tick handles all timers that are due.
func (m *Machine) Tick(now time.Duration) {
	for len(m.timers) > 0 && m.timers[0].due <= now {
		m.timers[0].owner.fire(m, now)
	}
}

// owed is whoever has a timer: an exchange or a branch.
type owed interface {
	fire(m *Machine, now time.Duration)
}

// timer is one owner's place among the timers.
type timer struct {
	owner owed
	due   time.Duration
	index int // -1 while it is not among them
}

// timers is a heap by due time that knows where each one is, so that none outlives its
// owner.
type timers []*timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timers) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

// set moves a timer to a new time; 0 stops it.
func (m *Machine) set(t *timer, due time.Duration) {
	switch {
	case due == t.due && (t.index >= 0) == (due > 0):
	case due == 0:
		t.due = 0
		heap.Remove(&m.timers, t.index)
	case t.index < 0:
		t.due = due
		heap.Push(&m.timers, t)
	default:
		t.due = due
		heap.Fix(&m.timers, t.index)
	}
}

// Counts are what has happened so far.
type Counts struct {
	Requests  int64            // outside dialogs, taken in
	Inside    int64            // inside dialogs, taken in
	Dialogs   int64            // begun by a 2xx to an INVITE
	Byes      int64            // BYEs that were passed on
	Finals    map[int]int64    // final responses sent, by status code
	Ends      map[string]int64 // of attempts and of requests inside dialogs
	Refused   map[string]int64 // by cause
	Late      int64            // 2xx after another final: acknowledged and ended
	Stray     int64            // responses and ACKs of no transaction or dialog
	Repeats   int64            // requests that came again
	Malformed int64
}

// View is a Machine's state for those who look on.
type View struct {
	Counts
	Servers    map[string]int // server transactions by state
	Clients    map[string]int // client transactions by state
	Unanswered int            // requests without a final response
	Sources    int            // with transactions outside dialogs
	Timers     int
	Draining   bool
}

// Inspect copies the state, at a cost that grows with the open transactions.
func (m *Machine) Inspect() View {
	v := View{
		Counts: m.counts, Servers: map[string]int{}, Clients: map[string]int{},
		Sources: len(m.sources), Timers: len(m.timers), Draining: m.draining,
	}
	v.Finals, v.Ends, v.Refused = maps.Clone(m.counts.Finals), maps.Clone(m.counts.Ends), maps.Clone(m.counts.Refused)
	for _, x := range m.exchanges {
		if !x.own {
			v.Servers[x.server.State().String()]++
			if x.final == 0 {
				v.Unanswered++
			}
		}
	}
	for _, b := range m.branches {
		v.Clients[b.machine.State().String()]++
	}
	return v
}
