package web

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// problem is an error response by the node itself, in problem details format (RFC 9457).
type problem struct {
	Type     string `json:"type,omitempty"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail,omitempty"`
	Instance string `json:"instance,omitempty"` // the request id

	retryAfter time.Duration
	closeConn  bool // unread body data may follow, so the connection cannot be reused
}

var shuttingDown = &problem{Status: http.StatusBadGateway, Title: "shutting down", Type: "stopping"}

// incompleteBody returns the response to a request whose body did not come whole.
func incompleteBody(err error) *problem {
	return &problem{Status: http.StatusRequestTimeout, Title: "body", Detail: "the body did not come whole, or came too slowly: " + err.Error(), closeConn: true}
}

func (p problem) write(w http.ResponseWriter, id string) {
	h := w.Header()
	if p.closeConn {
		h.Set("Connection", "close")
	}
	if p.retryAfter > 0 { // delta-seconds is an integer (RFC 9110, section 10.2.3)
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	if p.Status == http.StatusNoContent {
		w.WriteHeader(p.Status)
		return
	}
	if p.Status == http.StatusMethodNotAllowed {
		h.Set("Allow", "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS")
	}
	if p.Type != "" {
		p.Type = "urn:otterstep:" + p.Type
	}
	p.Instance = id
	text, _ := json.Marshal(p) // cannot fail for strings and an integer
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(p.Status)
	_, _ = w.Write(append(text, '\n')) // an error means that the client has disconnected
}

// newRequestID returns a random request id.
func newRequestID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(b[:])
}
