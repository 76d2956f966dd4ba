// Package message parses and encodes SIP messages (RFC 3261 section 7) for a proxy. Fields
// that a proxy does not interpret pass unchanged; those that it acts on are parsed strictly.
package message

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Limits of a message's header; Parse rejects a message that exceeds them.
const (
	MaxFields    = 256
	MaxLineBytes = 8 << 10 // start line, or header field with its folded lines
)

// Methods with special handling in the proxy. Methods are case-sensitive, so "invite" is a
// different method (RFC 3261 section 7.1).
const (
	Invite    = "INVITE"
	Ack       = "ACK"
	Cancel    = "CANCEL"
	Bye       = "BYE"
	Options   = "OPTIONS"
	Register  = "REGISTER"
	Subscribe = "SUBSCRIBE"
)

// Field is one header field. Via, Route and Record-Route fields with several values are
// split into one Field for each value.
type Field struct {
	Name  string // full name in lower case: "call-id", also for the compact form "i"
	Value string // unfolded and trimmed
}

// Message is a request or a response.
type Message struct {
	Method string // "" in a response
	URI    string // the Request-URI
	Code   int    // status code of a response
	Reason string
	Fields []Field
	Body   []byte

	// Values that Parse read from the fields. They don't follow later changes to Fields.
	Via        Via // the topmost
	CallID     string
	CSeq       uint32
	CSeqMethod string // the method in CSeq
	FromTag    string
	ToTag      string
}

func (m *Message) IsRequest() bool { return m.Method != "" }

// compactForms maps the compact names of RFC 3261 section 7.3.3 and of the IANA registry to
// the full ones.
var compactForms = map[string]string{
	"a": "accept-contact", "b": "referred-by", "c": "content-type", "d": "request-disposition",
	"e": "content-encoding", "f": "from", "i": "call-id", "j": "reject-contact", "k": "supported",
	"l": "content-length", "m": "contact", "o": "event", "r": "refer-to", "s": "subject",
	"t": "to", "u": "allow-events", "v": "via", "x": "session-expires", "y": "identity",
}

// Get returns the value of the first field called name, which is spelled as in Field.Name.
func (m *Message) Get(name string) (string, bool) {
	for _, f := range m.Fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return "", false
}

// All returns the values of all fields called name, in order.
func (m *Message) All(name string) (values []string) {
	for _, f := range m.Fields {
		if f.Name == name {
			values = append(values, f.Value)
		}
	}
	return values
}

// Set replaces the first field called name, or appends one.
func (m *Message) Set(name, value string) {
	for i := range m.Fields {
		if m.Fields[i].Name == name {
			m.Fields[i].Value = value
			return
		}
	}
	m.Fields = append(m.Fields, Field{name, value})
}

// Push inserts a field before all others of its name; a Via goes before all other fields.
func (m *Message) Push(name, value string) {
	at := 0
	if name != "via" {
		for at < len(m.Fields) && m.Fields[at].Name != name {
			at++
		}
	}
	m.Fields = append(m.Fields, Field{})
	copy(m.Fields[at+1:], m.Fields[at:])
	m.Fields[at] = Field{name, value}
}

// Pop removes the first field called name.
func (m *Message) Pop(name string) {
	for i, f := range m.Fields {
		if f.Name == name {
			m.Fields = append(m.Fields[:i], m.Fields[i+1:]...)
			return
		}
	}
}

// Drop removes all fields called name.
func (m *Message) Drop(name string) {
	kept := m.Fields[:0]
	for _, f := range m.Fields {
		if f.Name != name {
			kept = append(kept, f)
		}
	}
	m.Fields = kept
}

// Clone copies a message with its fields. The body is shared, since it is never modified.
func (m *Message) Clone() *Message {
	c := *m
	c.Fields = append(make([]Field, 0, len(m.Fields)+4), m.Fields...)
	return &c
}

// Encode serializes a message. It sets Content-Length to the length of the body.
func (m *Message) Encode() []byte {
	n := 64 + len(m.URI) + len(m.Body)
	for _, f := range m.Fields {
		n += len(f.Name) + len(f.Value) + 4
	}
	b := bytes.NewBuffer(make([]byte, 0, n))
	if m.IsRequest() {
		b.WriteString(m.Method)
		b.WriteByte(' ')
		b.WriteString(m.URI)
		b.WriteString(" SIP/2.0\r\n")
	} else {
		b.WriteString("SIP/2.0 ")
		b.WriteString(strconv.Itoa(m.Code))
		b.WriteByte(' ')
		b.WriteString(m.Reason)
		b.WriteString("\r\n")
	}
	for _, f := range m.Fields {
		if f.Name == "content-length" {
			continue
		}
		b.WriteString(canonicalName(f.Name))
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}
	b.WriteString("Content-Length: ")
	b.WriteString(strconv.Itoa(len(m.Body)))
	b.WriteString("\r\n\r\n")
	b.Write(m.Body)
	return b.Bytes()
}

// canonicalNames holds the names that capitalizing each word would spell wrongly.
var canonicalNames = map[string]string{
	"call-id": "Call-ID", "cseq": "CSeq", "www-authenticate": "WWW-Authenticate", "mime-version": "MIME-Version",
	"rseq": "RSeq", "rack": "RAck", "sip-etag": "SIP-ETag", "sip-if-match": "SIP-If-Match",
}

// canonicalName spells a field name in its usual capitals. Receivers ignore the case.
func canonicalName(name string) string {
	if s := canonicalNames[name]; s != "" {
		return s
	}
	b := []byte(name)
	for i := range b {
		if (i == 0 || b[i-1] == '-') && 'a' <= b[i] && b[i] <= 'z' {
			b[i] -= 'a' - 'A'
		}
	}
	return string(b)
}

// reasonPhrases are the reason phrases of the status codes that the proxy and the test user
// agents send.
var reasonPhrases = map[int]string{
	100: "Trying", 200: "OK", 400: "Bad Request", 403: "Forbidden", 408: "Request Timeout",
	413: "Request Entity Too Large", 416: "Unsupported URI Scheme", 420: "Bad Extension", 430: "Flow Failed",
	481: "Call/Transaction Does Not Exist", 482: "Loop Detected", 483: "Too Many Hops", 487: "Request Terminated",
	500: "Server Internal Error", 503: "Service Unavailable", 504: "Server Time-out",
	505: "Version Not Supported", 513: "Message Too Large", 180: "Ringing", 183: "Session Progress", 202: "Accepted",
	302: "Moved Temporarily", 407: "Proxy Authentication Required", 480: "Temporarily Unavailable", 486: "Busy Here",
	600: "Busy Everywhere", 603: "Decline",
}

// Response makes a response to a request. Via, From, To, Call-ID and CSeq are copied from
// the request (RFC 3261 section 8.2.6). If To has no tag and code is above 100, tag is added.
func (m *Message) Response(code int, tag string) *Message {
	r := &Message{
		Code: code, Reason: reasonPhrases[code],
		Via: m.Via, CallID: m.CallID, CSeq: m.CSeq, CSeqMethod: m.CSeqMethod, FromTag: m.FromTag, ToTag: m.ToTag,
	}
	r.Fields = make([]Field, 0, 8)
	for _, f := range m.Fields {
		switch f.Name {
		case "to":
			if m.ToTag == "" && code > 100 && tag != "" {
				f.Value += ";tag=" + tag
				r.ToTag = tag
			}
		case "via", "from", "call-id", "cseq":
		default:
			continue
		}
		r.Fields = append(r.Fields, f)
	}
	return r
}

// Error describes what is wrong with a message. The proxy sends it in a Warning field.
type Error struct {
	Code  int    // status code for the response; see RFC 3261 section 21
	Field string // name of the faulty field; "" if none
	Text  string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Text
	}
	return e.Field + ": " + e.Text
}

func badRequest(field, format string, args ...any) error {
	return &Error{400, field, fmt.Sprintf(format, args...)}
}

// isTokenChar reports whether c may occur in a token (RFC 3261 section 25.1).
func isTokenChar(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-.!%*_+`'~", c) >= 0
}

func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenChar(s[i]) {
			return false
		}
	}
	return s != ""
}
