// Package message reads and writes SIP messages (RFC 3261 section 7) as a proxy needs
// them: what it does not understand passes unchanged, what it must understand is read
// strictly. It does no I/O.
package message

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Most bounds; a message beyond them is an error.
const (
	MostFields = 256
	MostLine   = 8 << 10 // bytes of a start line or of a header field with its folds
)

// Methods that a proxy treats in ways of their own. Methods are case-sensitive, so
// "invite" is another one (RFC 3261 section 7.1).
const (
	Invite    = "INVITE"
	Ack       = "ACK"
	Cancel    = "CANCEL"
	Bye       = "BYE"
	Options   = "OPTIONS"
	Register  = "REGISTER"
	Subscribe = "SUBSCRIBE"
)

// Field is one header field. Via, Route and Record-Route fields with several values
// are split, so that each holds one.
type Field struct {
	Name  string // canonical and lower case, as in "call-id" also for "i"
	Value string // unfolded, without space around it
}

// Message is a request or a response.
type Message struct {
	Method string // of a request; "" in a response
	URI    string // the Request-URI
	Code   int    // of a response
	Reason string
	Fields []Field
	Body   []byte

	// What Parse has read of the fields. It does not follow changes to Fields.
	Via     Via // the topmost
	CallID  string
	CSeq    uint32
	CSeqOf  string // the method in CSeq
	FromTag string
	ToTag   string
}

// Request tells a request from a response.
func (m *Message) Request() bool { return m.Method != "" }

// compact maps the short names of RFC 3261 section 7.3.3 and of the registry.
var compact = map[string]string{
	"a": "accept-contact", "b": "referred-by", "c": "content-type", "d": "request-disposition",
	"e": "content-encoding", "f": "from", "i": "call-id", "j": "reject-contact", "k": "supported",
	"l": "content-length", "m": "contact", "o": "event", "r": "refer-to", "s": "subject",
	"t": "to", "u": "allow-events", "v": "via", "x": "session-expires", "y": "identity",
}

// Get gives the value of the first field of a name, which is written as in Field.
func (m *Message) Get(name string) (string, bool) {
	for _, f := range m.Fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return "", false
}

// All gives the values of the fields of a name, in their order.
func (m *Message) All(name string) (values []string) {
	for _, f := range m.Fields {
		if f.Name == name {
			values = append(values, f.Value)
		}
	}
	return values
}

// Set replaces the first field of a name, or adds one at the end.
func (m *Message) Set(name, value string) {
	for i := range m.Fields {
		if m.Fields[i].Name == name {
			m.Fields[i].Value = value
			return
		}
	}
	m.Fields = append(m.Fields, Field{name, value})
}

// Push puts a field before all others of its name; a Via goes to the very top.
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

// Pop takes the first field of a name away.
func (m *Message) Pop(name string) {
	for i, f := range m.Fields {
		if f.Name == name {
			m.Fields = append(m.Fields[:i], m.Fields[i+1:]...)
			return
		}
	}
}

// Drop takes all fields of a name away.
func (m *Message) Drop(name string) {
	kept := m.Fields[:0]
	for _, f := range m.Fields {
		if f.Name != name {
			kept = append(kept, f)
		}
	}
	m.Fields = kept
}

// Clone copies a message so that changes to one's fields do not show in the other. The
// body is shared, as nobody writes to it.
func (m *Message) Clone() *Message {
	c := *m
	c.Fields = append(make([]Field, 0, len(m.Fields)+4), m.Fields...)
	return &c
}

// Encode writes a message; Content-Length is what the body has.
func (m *Message) Encode() []byte {
	n := 64 + len(m.URI) + len(m.Body)
	for _, f := range m.Fields {
		n += len(f.Name) + len(f.Value) + 4
	}
	b := bytes.NewBuffer(make([]byte, 0, n))
	if m.Request() {
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
		b.WriteString(spelling(f.Name))
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

// spellings are those that the usual capitals of words would not give.
var spellings = map[string]string{
	"call-id": "Call-ID", "cseq": "CSeq", "www-authenticate": "WWW-Authenticate", "mime-version": "MIME-Version",
	"rseq": "RSeq", "rack": "RAck", "sip-etag": "SIP-ETag", "sip-if-match": "SIP-If-Match",
}

// spelling writes a name as people do; names are read without regard to case.
func spelling(name string) string {
	if s := spellings[name]; s != "" {
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

// reasons words the status codes that this project answers with.
var reasons = map[int]string{
	100: "Trying", 200: "OK", 400: "Bad Request", 403: "Forbidden", 408: "Request Timeout",
	413: "Request Entity Too Large", 416: "Unsupported URI Scheme", 420: "Bad Extension", 430: "Flow Failed",
	481: "Call/Transaction Does Not Exist", 482: "Loop Detected", 483: "Too Many Hops", 487: "Request Terminated",
	500: "Server Internal Error", 503: "Service Unavailable", 504: "Server Time-out",
	505: "Version Not Supported", 513: "Message Too Large", 180: "Ringing", 183: "Session Progress", 202: "Accepted",
	302: "Moved Temporarily", 407: "Proxy Authentication Required", 480: "Temporarily Unavailable", 486: "Busy Here",
	600: "Busy Everywhere", 603: "Decline",
}

// Response makes an answer to a request: Via, From, To, Call-ID and CSeq are its own
// (RFC 3261 section 8.2.6), with tag in To where it has none and code is over 100.
func (m *Message) Response(code int, tag string) *Message {
	r := &Message{
		Code: code, Reason: reasons[code],
		Via: m.Via, CallID: m.CallID, CSeq: m.CSeq, CSeqOf: m.CSeqOf, FromTag: m.FromTag, ToTag: m.ToTag,
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

// Error is what is wrong with a message, in words for its sender.
type Error struct {
	Code  int    // the response that a request deserves; see RFC 3261 section 21
	Field string // where
	Text  string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Text
	}
	return e.Field + ": " + e.Text
}

func bad(field, format string, args ...any) error {
	return &Error{400, field, fmt.Sprintf(format, args...)}
}

// tokenChar tells the characters of a token (RFC 3261 section 25.1).
func tokenChar(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-.!%*_+`'~", c) >= 0
}

func isToken(s string) bool {
	for i := range len(s) {
		if !tokenChar(s[i]) {
			return false
		}
	}
	return s != ""
}
