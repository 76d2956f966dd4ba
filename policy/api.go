// Package policy makes the decisions of an HTTP load balancer that runs as a
// small bank of nodes: which server gets a request, when another attempt is
// made, what is refused, and how a list of servers is followed.
//
// A Balancer is driven by events (one method each) and answers by calling the
// actions of its Host. It has no clock, no goroutine and no global state: time
// is what the events say, and the same events with the same seed give the same
// actions. It is not safe for concurrent use: one caller at a time.
package policy

import "time"

// RequestID names a client request; the host chooses it and never repeats it.
type RequestID uint32

// ServerID names a server. It is opaque: equal ids mean the same server.
type ServerID uint64

// Effect tells what a repeat of a request would do.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped inside Class.Scope for Class.Window
	Unsafe               // must never run twice
)

// Scope is the group of servers that drops the repeats of a keyed request.
type Scope uint8

// The scopes of a keyed class.
const (
	ScopeAll  Scope = iota // every server
	ScopeZone              // the servers of one zone
	ScopeCell              // the servers of one cell
)

// Class is a class of requests.
type Class struct {
	Deadline   time.Duration // a client's whole patience, over all of its tries
	Aim        time.Duration // an answer inside it earns its full worth; 0: the deadline
	AimStretch float64       // if set, this multiple of the request's own work is added to the aim
	LateWorth  float64       // share of the worth that a later answer earns
	Worth      float64       // worth of one request, or of one unit of work
	Effect     Effect
	Scope      Scope         // for Keyed
	Window     time.Duration // for Keyed: how long repeats are dropped, from the first send
	Stream     bool          // the answer is a stream; see Balancer.Started
	Grain      time.Duration // latencies below it are all the same to the class
	Parked     bool          // once the server has taken it in it is no load, as a phone that rings; see Balancer.Taken
}

// Tenant is a party with a share in the fleet.
type Tenant struct {
	QuotaPerS float64 // requests a second, over all nodes; 0: no limit
}

// Limits is what a site permits.
type Limits struct {
	MaxAttempts   int           // attempts for one request
	SecondCopies  bool          // two attempts of a request may be out together
	Cancel        bool          // Host.Cancel may be used
	MaxOpen       int           // requests with no final answer that a node can carry; 0: no bound
	MaxRetryAfter time.Duration // the longest wait that clients heed; 0: they heed none
}

// Rules holds the figures of the rules that a node keeps on its own.
type Rules struct {
	ColdFrom     float64       // a server starts at this share of its capacity or above
	ColdFor      time.Duration // and is warm after this at most
	FallMultiple float64       // a cold server sent more than this multiple of its present capacity
	FallFor      time.Duration // for this long falls over
	MustAsk      time.Duration // with ListAsked: the longest time without asking
}

// Prices is what a site takes off its service, as shares of it.
type Prices struct {
	Waste    float64 // for work that served nothing, as much as all that was asked for
	LateFail float64 // for all requests failing after their aim
	// CrossZone is for as many attempts in other zones than the node's as there are requests.
	CrossZone float64
}

// Settings is what an instance is told at its start.
type Settings struct {
	Nodes          int // nodes of this tier, this one included
	Zone           int // where this node stands
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // worth of a request beyond its tenant's share, as a share of its class's
	WorthByWork    bool    // worth counts for each unit of work instead of for each request
	WarmKeys       bool    // a server that met a key lately does less work for it
	ListAsked      bool    // the server list comes only to those who watch it; else it is pushed
	Limits         Limits
	Rules          Rules
	Prices         Prices
}

// State is what the list says of a server.
type State uint8

// The states of a listed server.
const (
	Gone State = iota
	Ready
	Draining
)

// Entry is a line of the server list.
type Entry struct {
	Server  ServerID
	Zone    int
	Cell    int
	Kind    int // of machine: equal ones are alike
	State   State
	Weight  float64       // rough size, comparable across servers; 0: unknown
	Started time.Duration // time of its latest start; 0: long past
	// Doubted is a line from memory that discovery has not confirmed: the server may have started anew
	// since, and is taken for one that has just done so for as long as that is so.
	Doubted bool
}

// ListKind tells how to read a Members event.
type ListKind uint8

// The kinds of a list event.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all servers
	ListCached                 // all servers as known some time ago
	ListFailed                 // a call failed or the watch broke; the old list stays
)

// Request is a client's request as it comes in.
type Request struct {
	ID     RequestID
	Class  int
	Tenant int
	Key    uint64        // equal keys: related requests; 0: none
	Left   time.Duration // the client gives this try up after so long
	Hint   time.Duration // rough cost in work; 0: unknown
	Coming bool          // its end is still on its way from the client; see Balancer.Sent
}

// Status tells how an attempt ended.
type Status uint8

// The ends of an attempt.
const (
	OK            Status = iota // served
	Error                       // the server answered with an error; may have run
	Full                        // turned away unseen; has not run
	Timeout                     // no answer in time; may have run or run still
	ConnectFailed               // no connection; has not run
	Reset                       // the connection dropped; may have run
	Cancelled                   // cancelled; may have run
	Moot                        // never sent; has not run
)

// Outcome reports the end of one attempt. Each Host.Send is followed by one.
type Outcome struct {
	ID      RequestID
	Attempt int // 0, 1, 2 ... in the order of the sends for this request
	Server  ServerID
	Status  Status
	Ended   bool          // the request has its final answer, by this outcome or before
	Latency time.Duration // time since the send
}

// Host carries out the actions of a Balancer. Calls come from within the
// Balancer's own methods; a Host must not call back into it.
type Host interface {
	// Send starts an attempt. A timeout of 0 lasts until the client gives up.
	Send(id RequestID, server ServerID, timeout time.Duration)
	// Cancel stops waiting for an attempt that is out.
	Cancel(id RequestID, attempt int)
	// Refuse is a final answer and a promise: trying again does no harm.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// SetTimer asks for a Timer event at the given time, after the present event.
	SetTimer(at time.Duration, token uint64)
	// WatchList subscribes to changes of the server list (with ListAsked).
	WatchList()
}
