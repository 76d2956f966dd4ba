// Package verdict maps a server's answer to the status that counts for the server, and says
// whether a retry is worthwhile. It does no I/O.
package verdict

import (
	"net/http"

	"otterstep/policy"
)

// Verdict is the assessment of an answer.
type Verdict struct {
	Status policy.Status
	// Retryable tells to buffer the answer while the decision module decides on a further
	// attempt. Other answers are streamed to the client at once.
	Retryable bool
}

// Row is a row of Table, exported for the documentation and tests.
type Row struct {
	From, To int    // range of status codes, inclusive
	Field    string // required header field, as "Name: value"; "" for none
	Verdict
	Reason string
}

// Table lists all verdicts; the first matching row applies.
var Table = []Row{
	{503, 504, "X-Unprocessed: 1", Verdict{policy.Full, true}, "the server says that it has not run"},
	{200, 200, "Grpc-Status: 14", Verdict{policy.Error, true}, "gRPC's UNAVAILABLE before any message; it may have run"},
	{500, 500, "", Verdict{policy.Error, true}, "the server failed; it may have run"},
	{502, 504, "", Verdict{policy.Error, true}, "the server or one behind it failed or is overloaded; it may have run, Retry-After or not"},
	{200, 999, "", Verdict{policy.OK, false}, "the server's answer, 429 too: it is about the client"},
}

// Of returns the verdict on an answer with this status and header.
func Of(status int, h http.Header) Verdict {
	for _, r := range Table {
		if status >= r.From && status <= r.To && (r.Field == "" || hasField(h, r.Field)) {
			return r.Verdict
		}
	}
	return Verdict{Status: policy.Reset} // an interim response is not an answer
}

func hasField(h http.Header, mark string) bool {
	for i := range mark {
		if mark[i] == ':' {
			return h.Get(mark[:i]) == mark[i+2:]
		}
	}
	return false
}
