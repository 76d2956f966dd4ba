// Package proxy implements a transaction-stateful SIP proxy (RFC 3261 section 16, RFC 6026,
// RFC 3581) without sockets, a clock or goroutines. A Machine is driven by messages, timers
// and the core's decisions, and acts through its Host. For a request outside a dialog the
// core decides which server it goes to, whether it is retried and whether it is refused. A
// request inside a dialog is routed by its token.
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

	"otterstep/internal/membudget"
	"otterstep/internal/sip/message"
	"otterstep/internal/sip/token"
	"otterstep/internal/sip/transaction"
)

// Transport is a SIP transport protocol.
type Transport byte

// The transports.
const (
	UDP Transport = 1 + iota
	TCP
	TLS
)

// String returns the transport's name in Via; URIs use it in lower case.
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

// Reliable reports whether the transport is reliable, so that retransmissions aren't needed.
func (t Transport) Reliable() bool { return t != UDP }

// Peer is the source or destination of a message.
type Peer struct {
	Transport Transport
	Addr      netip.AddrPort
	Conn      uint64 // connection ID on a stream transport; 0 for any connection to Addr
	Port      uint16 // port to reconnect to after a stream's connection has closed; 0 for Addr's port
}

// Class is a request class of the pool, for requests outside dialogs.
type Class int

// The classes, in the order of the pool's settings.
const (
	ClassInvite Class = iota // INVITE
	ClassRegister
	ClassSubscribe
	ClassOptions // OPTIONS
	ClassOther
	NumClasses // number of classes
)

// String returns the class's name, as used in settings and shown to operators.
func (c Class) String() string {
	return [NumClasses]string{"invite", "register", "subscribe", "options", "other"}[c]
}

// ClassOf returns the class of a method.
func ClassOf(method string) Class {
	switch method {
	case message.Invite:
		return ClassInvite
	case message.Register:
		return ClassRegister
	case message.Subscribe:
		return ClassSubscribe
	case message.Options:
		return ClassOptions
	}
	return ClassOther
}

// RoutingRequest asks the core to choose a server for a request.
type RoutingRequest struct {
	ID       uint64
	Class    Class
	Key      uint64
	Name     string
	Deadline time.Duration
}

// Host carries out what a Machine decides. The Machine calls it from its own methods, so a
// Host must not call back into the Machine.
type Host interface {
	// Transmit sends a message. Unless id is empty, a known failure is later reported with
	// id to Machine.DeliveryFailed.
	Transmit(to Peer, id string, text []byte)
	// Submit passes a request to the core. Machine.Answer follows, unless Withdraw comes first.
	Submit(RoutingRequest)
	// Withdraw tells the core that the answer to a request is no longer needed.
	Withdraw(id uint64)
	// Finish tells the core how an attempt ended, once for each call of Machine.Attempt.
	Finish(attempt uint64, e End)
	// Accepted tells the core that the attempt's server has sent a 100 response.
	Accepted(attempt uint64)
	// Started tells the core that the attempt's server has sent a provisional response above 100.
	Started(attempt uint64)
}

// Limits bound the state that a Machine holds. All must be positive.
type Limits struct {
	Transactions int // open and lingering ones; a quarter is reserved for requests inside dialogs
	PerSource    int // of those, the ones outside dialogs for each IPv4 address or IPv6 /64
}

// Options configure a Machine.
type Options struct {
	Host          Host
	Timing        transaction.Timing
	Deadlines     [NumClasses]time.Duration
	Limits        Limits
	Memory        *membudget.Account // of requests and their transactions; nil: not limited
	RetryAfter    time.Duration      // minimum; a random part of up to as much is added, so that clients don't return all at once
	Signer        *token.Signer
	TokenLifetime time.Duration // validity of a token
	Listen        map[Transport]netip.AddrPort
	Seed          [32]byte // seed for branches and tags, which must be unpredictable
	WallTime      func(time.Duration) time.Time
}

// Machine is the state of one proxy. It is not safe for concurrent use.
type Machine struct {
	options  Options
	rng      *rand.Rand
	hashSeed maphash.Seed

	exchanges     map[uint64]*exchange
	byKey         map[string]*exchange // server transactions, matched as in RFC 3261 section 17.2.3
	branches      map[string]*branch   // client transactions, by method and branch ID
	attempts      map[uint64]*branch   // branches whose end the core waits for, by attempt
	sources       map[netip.Addr]int
	servers       map[uint64]Peer
	hasServerList bool
	draining      bool
	closed        bool // see Close
	lastID        uint64
	timers        timers
	counts        Counts
}

func New(o Options) *Machine {
	return &Machine{
		options: o, rng: rand.New(rand.NewChaCha8(o.Seed)), hashSeed: maphash.MakeSeed(),
		exchanges: map[uint64]*exchange{}, byKey: map[string]*exchange{}, branches: map[string]*branch{},
		attempts: map[uint64]*branch{}, sources: map[netip.Addr]int{}, servers: map[uint64]Peer{},
		counts: Counts{Refused: map[string]int64{}, Finals: map[int]int64{}, Ends: map[string]int64{}},
	}
}

// SetServers sets the list of the pool's servers, including draining ones. Requests in the
// dialogs of any other server are answered 481. Another process may listen at the address of one
// that has gone, so requests that wait for a response from it are not sent again.
func (m *Machine) SetServers(list map[uint64]Peer) {
	m.servers, m.hasServerList = list, true
	for _, b := range m.branches {
		if at, listed := list[b.server]; b.server != 0 && (!listed || at.Addr != b.to.Addr) {
			b.machine.StopRetransmitting()
			m.setTimer(&b.timer, b.machine.Due())
		}
	}
}

// Drain makes the Machine refuse new requests outside dialogs.
func (m *Machine) Drain() { m.draining = true }

// Close makes the Machine take no request at all any more, neither outside nor inside dialogs. It still handles
// responses, ACKs, CANCELs and retransmissions of the requests that it has taken.
func (m *Machine) Close() { m.closed = true }

// CloseIfIdle closes the Machine if every request that it has taken has its final response, and reports whether
// it did. Nothing is taken between the look and the close.
func (m *Machine) CloseIfIdle() bool {
	for _, x := range m.exchanges {
		if x.unanswered() {
			return false
		}
	}
	m.Close()
	return true
}

// ExpireOutsideDialogs sends a final response to each request outside dialogs that has none, as at its deadline.
func (m *Machine) ExpireOutsideDialogs(now time.Duration) {
	m.expire(now, func(x *exchange) bool { return !x.inDialog })
}

// ExpireAll sends a final response to each request that has none, as at its deadline.
func (m *Machine) ExpireAll(now time.Duration) {
	m.expire(now, func(*exchange) bool { return true })
}

func (m *Machine) expire(now time.Duration, selected func(*exchange) bool) {
	for _, id := range slices.Sorted(maps.Keys(m.exchanges)) {
		if x := m.exchanges[id]; x != nil && x.final == 0 && selected(x) {
			m.respondTimeout(now, x)
		}
	}
}

// Due returns when Tick has to be called next, or 0 if no timer is running.
func (m *Machine) Due() time.Duration {
	if len(m.timers) == 0 {
		return 0
	}
	return m.timers[0].due
}

// Tick fires all timers that are due at now.
func (m *Machine) Tick(now time.Duration) {
	for len(m.timers) > 0 && m.timers[0].due <= now {
		m.timers[0].owner.fire(m, now)
	}
}

// timerOwner is an exchange or a branch, each of which has one timer.
type timerOwner interface {
	fire(m *Machine, now time.Duration)
}

// timer is an entry of the timer heap.
type timer struct {
	owner timerOwner
	due   time.Duration
	index int // position in the heap; -1 if not in it
}

// timers is a heap ordered by due time. Each timer knows its position, so that it can be
// removed together with its owner.
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

// setTimer sets a timer to a new time; 0 stops it.
func (m *Machine) setTimer(t *timer, due time.Duration) {
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

// Counts are event counters.
type Counts struct {
	Requests        int64            // requests accepted outside dialogs
	InDialog        int64            // requests accepted inside dialogs
	Dialogs         int64            // dialogs established by a 2xx to an INVITE
	Byes            int64            // forwarded BYEs
	Finals          map[int]int64    // final responses sent, by status code
	Ends            map[string]int64 // by name of the End: attempts, and requests inside dialogs
	Refused         map[string]int64 // refused requests, by cause
	LateSuccesses   int64            // 2xx after another final response, answered with ACK and BYE
	Unmatched       int64            // responses and ACKs that match no transaction or dialog
	Retransmissions int64            // retransmitted requests
	Malformed       int64
}

// View is a snapshot of a Machine's state for inspection.
type View struct {
	Counts
	Servers           map[string]int // server transactions by state
	Clients           map[string]int // client transactions by state
	Unanswered        int            // requests without a final response
	UnansweredOutside int            // of those, the ones outside dialogs
	Sources           int            // sources with open transactions outside dialogs
	Timers            int
	Draining          bool
}

// Inspect copies the state. Its cost is linear in the number of open transactions.
func (m *Machine) Inspect() View {
	v := View{
		Counts: m.counts, Servers: map[string]int{}, Clients: map[string]int{},
		Sources: len(m.sources), Timers: len(m.timers), Draining: m.draining,
	}
	v.Finals, v.Ends, v.Refused = maps.Clone(m.counts.Finals), maps.Clone(m.counts.Ends), maps.Clone(m.counts.Refused)
	for _, x := range m.exchanges {
		if !x.internal {
			v.Servers[x.server.State().String()]++
		}
		if x.unanswered() {
			v.Unanswered++
			if !x.inDialog {
				v.UnansweredOutside++
			}
		}
	}
	for _, b := range m.branches {
		v.Clients[b.machine.State().String()]++
	}
	return v
}
