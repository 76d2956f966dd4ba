package proxy

import "otterstep/policy"

// End is how an attempt at a server ended, in SIP's words.
type End uint8

// The ends.
const (
	Success  End = iota // 2xx
	Redirect            // 3xx
	Rejected            // 4xx
	Full                // 503
	Unfit               // 501, 505, 513, 580: the request is at fault at any server
	Broke               // any other 5xx
	Declined            // 6xx
	Refused             // no connection, or it broke before the last byte, or ICMP refused the first datagram
	Reset               // the connection broke after that, or ICMP refused a retransmission
	Silent              // nothing came
	Stalled             // nothing came after a 100
	RangOut             // nothing came after a 180 or another provisional response over 100
	Unsent              // it never began
	Ends                // how many there are
)

// Outcome is what an end means to the core.
type Outcome struct {
	Name   string
	Status policy.Status
	Ran    bool // the request may have run
	Final  bool // the server's response is the caller's, whatever else could be tried
}

// Outcomes is the one table from SIP's ends to the decision module's.
//
// A busy or unknown callee says nothing against the server, so 4xx and 6xx count as
// served. 503 tells that the server is unable to process the request (RFC 3261 section
// 21.5.4), so it has not run. A server that rang has shown that it works, so that silence
// from then on is told as a time-out of an attempt that had started.
var Outcomes = [Ends]Outcome{
	Success:  {"success", policy.OK, true, true},
	Redirect: {"redirect", policy.OK, true, true},
	Rejected: {"rejected", policy.OK, true, true},
	Full:     {"full", policy.Full, false, false},
	Unfit:    {"unfit", policy.OK, true, true},
	Broke:    {"broke", policy.Error, true, false},
	Declined: {"declined", policy.OK, true, true},
	Refused:  {"refused", policy.ConnectFailed, false, false},
	Reset:    {"reset", policy.Reset, true, false},
	Silent:   {"silent", policy.Timeout, true, false},
	Stalled:  {"stalled", policy.Timeout, true, false},
	RangOut:  {"rang out", policy.Timeout, true, false},
	Unsent:   {"unsent", policy.NotSent, false, false},
}

// String names an end as operators see it.
func (e End) String() string { return Outcomes[e].Name }

// endOf gives the end that a final response is.
func endOf(code int) End {
	switch code {
	case 503:
		return Full
	case 501, 505, 513, 580:
		return Unfit
	}
	switch code / 100 {
	case 2:
		return Success
	case 3:
		return Redirect
	case 4:
		return Rejected
	case 5:
		return Broke
	}
	return Declined
}
