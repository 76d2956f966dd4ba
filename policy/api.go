// Package policy makes the decisions of an HTTP load balancer that runs as a
// tier of a few nodes: which server gets a request, when to make another
// attempt, what to refuse, and how to follow the server list.
//
// A Balancer is driven by events (one method each) and responds by calling the
// actions of its Host. It has no clock, no goroutines and no global state: each
// event carries the time, and the same events with the same seed give the same
// actions. It is not safe for concurrent use.
package policy

import "time"

// RequestID identifies a client request. The host chooses it and never reuses it.
type RequestID uint32

// ServerID identifies a server. It is opaque: equal IDs mean the same server.
type ServerID uint64

// Effect describes what repeating a request would do.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are deduplicated within Class.Scope for Class.Window
	Unsafe               // must never run twice
)

// Scope is the group of servers that deduplicates a keyed request.
type Scope uint8

// The scopes of a keyed class.
const (
	ScopeAll  Scope = iota // every server
	ScopeZone              // the servers of one zone
	ScopeCell              // the servers of one cell
)

// Class is a class of requests.
type Class struct {
	Deadline     time.Duration // total time that a client waits, over all of its tries
	Aim          time.Duration // an answer within it earns the full worth; 0: the deadline
	AimStretch   float64       // if set, this multiple of the request's own work is added to the aim
	LateWorth    float64       // share of the worth that a later answer earns
	Worth        float64       // worth of one request, or of one unit of work
	Effect       Effect
	Scope        Scope         // for Keyed
	Window       time.Duration // for Keyed: how long repeats are deduplicated, from the first send
	Stream       bool          // the answer is a stream; see Balancer.StreamStarted
	LatencyFloor time.Duration // latencies below this are treated as equal
	Parked       bool          // adds no load once the server has accepted it, like a ringing phone; see Balancer.Accepted
}

// Tenant is a customer with a share of the fleet's capacity.
type Tenant struct {
	QuotaPerS float64 // requests per second over all nodes; 0: no limit
}

// Limits holds what a site permits.
type Limits struct {
	MaxAttempts   int           // attempts per request
	SecondCopies  bool          // two attempts of a request may be in flight together
	Cancel        bool          // Host.Cancel may be used
	MaxOpen       int           // requests without a final answer that a node can hold; 0: no limit
	MaxRetryAfter time.Duration // the longest wait that clients honour; 0: they honour none
}

// Rules holds the parameters of the rules that each node applies on its own.
type Rules struct {
	ColdFrom        float64       // a server starts with at least this share of its capacity
	ColdFor         time.Duration // and is warm after this long at most
	FallMultiple    float64       // a cold server that is sent more than this multiple of its present capacity
	FallFor         time.Duration // for this long falls over
	MaxCallInterval time.Duration // with ListWatched: the longest time between two calls for the list
}

// Prices holds the deductions that a site makes from its service score, as shares of it.
type Prices struct {
	Waste    float64 // for wasted work equal to all the work requested
	LateFail float64 // for every request failing after its aim
	// CrossZone is for as many attempts in zones other than the node's as there are requests.
	CrossZone float64
}

// Settings configures a Balancer.
type Settings struct {
	Nodes          int // nodes in this tier, including this one
	Zone           int // zone of this node
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // worth of a request beyond its tenant's quota, as a share of its class's worth
	WorthByWork    bool    // worth counts per unit of work instead of per request
	WarmKeys       bool    // a server that served a key recently does less work for it
	ListWatched    bool    // the server list has to be watched; otherwise it is pushed
	Limits         Limits
	Rules          Rules
	Prices         Prices
}

// State is the listed state of a server.
type State uint8

// The states of a listed server.
const (
	Gone State = iota
	Ready
	Draining
)

// Entry is an entry of the server list.
type Entry struct {
	Server  ServerID
	Zone    int
	Cell    int
	Kind    int // machine type: servers of one kind are alike
	State   State
	Weight  float64       // rough size, comparable across servers; 0: unknown
	Started time.Duration // time of its latest start; 0: long ago
	// Unconfirmed marks an entry restored from storage that discovery has not confirmed. The server may have
	// restarted since, so it is treated as just started until it is confirmed.
	Unconfirmed bool
}

// ListKind says how to apply an UpdateServers event.
type ListKind uint8

// The kinds of a list event.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all servers
	ListCached                 // all servers as known some time ago
	ListFailed                 // a call failed or the watch broke; the old list stays in force
)

// Request is a client's request as it arrives.
type Request struct {
	ID        RequestID
	Class     int
	Tenant    int
	Key       uint64        // requests with equal keys are related; 0: none
	TimeLeft  time.Duration // time after which the client gives up this try
	Hint      time.Duration // estimated work; 0: unknown
	Uploading bool          // the client is still sending it; see Balancer.RequestSent
}

// Status is the result of an attempt.
type Status uint8

// The results of an attempt.
const (
	OK            Status = iota // served
	Error                       // the server answered with an error; may have run
	Full                        // rejected before processing; has not run
	Timeout                     // no answer in time; may have run or still be running
	ConnectFailed               // no connection; has not run
	Reset                       // the connection dropped; may have run
	Cancelled                   // cancelled; may have run
	NotSent                     // never sent; has not run
)

// Outcome reports the end of one attempt. Every Host.Send is followed by one.
type Outcome struct {
	ID      RequestID
	Attempt int // 0, 1, 2 ... in the order of this request's sends
	Server  ServerID
	Status  Status
	Ended   bool          // the request has its final answer, by this outcome or an earlier one
	Latency time.Duration // time since the send
}

// Host carries out the actions of a Balancer. It is called from within the
// Balancer's own methods and must not call back into it.
type Host interface {
	// Send starts an attempt. With a timeout of 0 it lasts until the client gives up.
	Send(id RequestID, server ServerID, timeout time.Duration)
	// Cancel stops waiting for an attempt in flight.
	Cancel(id RequestID, attempt int)
	// Refuse gives a final answer that promises that a retry is safe.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail gives a final answer without that promise.
	Fail(id RequestID)
	// SetTimer requests a Timer event at the given time, after the current event.
	SetTimer(at time.Duration, token uint64)
	// WatchList subscribes to changes of the server list (with ListWatched).
	WatchList()
}
