// Package verdict decides what a server's answer says of the server, and whether another
// one may do better. It does no I/O.
package verdict

import (
	"net/http"

	"otterstep/policy"
)

// Verdict is what an answer means.
type Verdict struct {
	Status policy.Status
	// Again tells that the answer is worth holding back while another attempt may be made;
	// the decision module says whether one is. Else it goes to the client as it comes.
	Again bool
}

// Row is a line of the table, for pages and tests.
type Row struct {
	From, To int    // statuses
	Mark     string // a field that the answer has, with its value
	Verdict
	Why string
}

// Table is all of it: the first row that fits counts.
var Table = []Row{
	{503, 504, "X-Unprocessed: 1", Verdict{policy.Full, true}, "the server says that it has not run"},
	{200, 200, "Grpc-Status: 14", Verdict{policy.Error, true}, "gRPC's UNAVAILABLE before any message; it may have run"},
	{500, 500, "", Verdict{policy.Error, true}, "the server failed; it may have run"},
	{502, 504, "", Verdict{policy.Error, true}, "the server or one behind it failed or is overloaded; it may have run, Retry-After or not"},
	{200, 999, "", Verdict{policy.OK, false}, "the server's answer, 429 too: it is about the client"},
}

// Of gives the verdict on an answer's head.
func Of(status int, h http.Header) Verdict {
	for _, r := range Table {
		if status >= r.From && status <= r.To && (r.Mark == "" || marked(h, r.Mark)) {
			return r.Verdict
		}
	}
	return Verdict{Status: policy.Reset} // an interim answer is none
}

func marked(h http.Header, mark string) bool {
	for i := range mark {
		if mark[i] == ':' {
			return h.Get(mark[:i]) == mark[i+2:]
		}
	}
	return false
}
