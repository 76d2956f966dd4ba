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

// problem is an answer of the node's own (RFC 9457).
type problem struct {
	Type     string `json:"type,omitempty"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail,omitempty"`
	Instance string `json:"instance,omitempty"` // the request's id

	retryAfter time.Duration
	close      bool // what follows on the connection can't be trusted
}

var stopping = &problem{Status: http.StatusBadGateway, Title: "shutting down", Type: "stopping"}

func (p problem) write(w http.ResponseWriter, id string) {
	h := w.Header()
	if p.close {
		h.Set("Connection", "close")
	}
	if p.retryAfter > 0 { // delta-seconds are whole (RFC 9110, section 10.2.3)
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
	text, _ := json.Marshal(p) // strings and a number
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(p.Status)
	_, _ = w.Write(append(text, '\n')) // an error is the client's leaving
}

// newID gives an id of the node's own for a request.
func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}
