package proxy

import "otterstep/policy"

// End is how an attempt at a server ended.
type End uint8

// The ends.
const (
	Success             End = iota // 2xx
	Redirect                       // 3xx
	ClientError                    // 4xx
	Unavailable                    // 503
	Unsupported                    // 501, 505, 513, 580: the request would fail at any server
	ServerError                    // any other 5xx
	GlobalFailure                  // 6xx
	Refused                        // no connection, or it broke before the last byte was sent, or ICMP reported the first datagram as refused
	Reset                          // the connection broke after the last byte, or ICMP reported a retransmission as refused
	NoResponse                     // no response
	TimedOutAfterTrying            // no final response after a 100
	TimedOutRinging                // no final response after a provisional response above 100
	NotSent                        // the attempt never began
	NumEnds                        // number of ends
)

// Outcome is the meaning of an End for the core.
type Outcome struct {
	Name       string
	Status     policy.Status
	MayHaveRun bool // the server may have processed the request
	Final      bool // the server's response goes to the caller without a retry
}

// Outcomes maps each End to the decision module's status.
//
// A busy or unknown callee is no fault of the server, so 4xx and 6xx count as success. 503
// means that the server is unable to process the request (RFC 3261 section 21.5.4), so it
// has not run. A server that rang has shown that it works, so a missing final response
// after that is reported as the time-out of an attempt that had started.
var Outcomes = [NumEnds]Outcome{
	Success:             {"success", policy.OK, true, true},
	Redirect:            {"redirect", policy.OK, true, true},
	ClientError:         {"rejected", policy.OK, true, true},
	Unavailable:         {"full", policy.Full, false, false},
	Unsupported:         {"unfit", policy.OK, true, true},
	ServerError:         {"broke", policy.Error, true, false},
	GlobalFailure:       {"declined", policy.OK, true, true},
	Refused:             {"refused", policy.ConnectFailed, false, false},
	Reset:               {"reset", policy.Reset, true, false},
	NoResponse:          {"silent", policy.Timeout, true, false},
	TimedOutAfterTrying: {"stalled", policy.Timeout, true, false},
	TimedOutRinging:     {"rang out", policy.Timeout, true, false},
	NotSent:             {"unsent", policy.NotSent, false, false},
}

// String returns the end's name, as shown to operators.
func (e End) String() string { return Outcomes[e].Name }

// endOf returns the End for the status code of a final response.
func endOf(code int) End {
	switch code {
	case 503:
		return Unavailable
	case 501, 505, 513, 580:
		return Unsupported
	}
	switch code / 100 {
	case 2:
		return Success
	case 3:
		return Redirect
	case 4:
		return ClientError
	case 5:
		return ServerError
	}
	return GlobalFailure
}
