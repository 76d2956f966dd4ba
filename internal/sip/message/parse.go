package message

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Parse parses one complete message, as received in a datagram. Bytes after a body of the
// stated Content-Length are discarded (RFC 3261 section 18.3). The message does not retain
// data.
//
// Along with an error, Parse may return the part that it could read. Answerable reports
// whether that is enough for a response.
func Parse(data []byte) (*Message, error) {
	data = bytes.TrimLeft(data, "\r\n") // RFC 3261 section 7.5
	end := headerEnd(data)
	if end < 0 {
		return nil, badRequest("", "no empty line ends the header")
	}
	m, length, err := parseHeader(data[:end])
	if m == nil {
		return nil, err
	}
	body := data[end:]
	if length >= 0 {
		if length > len(body) {
			if err == nil {
				err = badRequest("Content-Length", "%d, but %d bytes follow", length, len(body))
			}
			return m, err
		}
		body = body[:length]
	}
	if len(body) > 0 {
		m.Body = bytes.Clone(body)
	}
	return m, err
}

// headerEnd returns the offset behind the empty line that ends the header, or -1.
func headerEnd(data []byte) int {
	if i := bytes.Index(data, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return -1
}

// parseHeader parses a start line and the fields. length is the Content-Length, or -1 if
// there is none. Only the first error is returned. The message is nil if the start line does
// not show whether it is a request or a response.
func parseHeader(data []byte) (m *Message, length int, err error) {
	length = -1
	note := func(e error) {
		if err == nil {
			err = e
		}
	}
	text := string(data[:len(data)-4])
	start, rest, _ := strings.Cut(text, "\r\n")
	m, e := parseStartLine(start)
	if m == nil {
		return nil, length, e
	}
	note(e)
	m.Fields = make([]Field, 0, 16)
	for rest != "" {
		var line string
		line, rest, _ = strings.Cut(rest, "\r\n")
		for rest != "" && (rest[0] == ' ' || rest[0] == '\t') { // folded: RFC 3261 section 7.3.1
			var more string
			more, rest, _ = strings.Cut(rest, "\r\n")
			line = strings.TrimRight(line, " \t") + " " + strings.TrimLeft(more, " \t")
			if len(line) > MaxLineBytes {
				break
			}
		}
		if len(line) > MaxLineBytes {
			return m, length, badRequest("", "a line of over %d bytes", MaxLineBytes)
		}
		if len(m.Fields) >= MaxFields {
			return m, length, badRequest("", "over %d header fields", MaxFields)
		}
		note(m.addFieldLine(line))
	}
	note(m.parseFields(&length))
	return m, length, err
}

func parseStartLine(line string) (*Message, error) {
	if len(line) > MaxLineBytes {
		return nil, badRequest("", "a start line of over %d bytes", MaxLineBytes)
	}
	if i := strings.IndexFunc(line, func(r rune) bool { return r < ' ' || r == 0x7f }); i >= 0 {
		return nil, badRequest("", "a control character in the start line")
	}
	if version, rest, ok := strings.Cut(line, " "); ok && len(version) > 4 && strings.EqualFold(version[:4], "SIP/") {
		code, reason, _ := strings.Cut(rest, " ")
		n, err := strconv.Atoi(code)
		switch {
		case !strings.EqualFold(version, "SIP/2.0"):
			return nil, badRequest("", "a response of version %q", version)
		case err != nil || len(code) != 3 || n < 100 || n > 699:
			return nil, badRequest("", "no status code: %q", code)
		}
		return &Message{Code: n, Reason: reason}, nil
	}
	method, rest, ok := strings.Cut(line, " ")
	if !ok || !isToken(method) || !strings.Contains(strings.ToUpper(rest), " SIP/") {
		return nil, badRequest("", "no start line of SIP")
	}
	uri, version, _ := cutLast(rest, " ")
	m := &Message{Method: method, URI: uri}
	scheme, _, ok := strings.Cut(uri, ":")
	switch {
	case len(version) < 4 || !strings.EqualFold(version[:4], "SIP/"):
		return m, badRequest("", "the start line does not end with its version")
	case !strings.EqualFold(version, "SIP/2.0"):
		return m, &Error{505, "", "version " + version}
	case uri == "" || strings.ContainsAny(uri, " \t<>\""):
		return m, badRequest("Request-URI", "%q can't be one", uri)
	case !ok || !isToken(scheme):
		return m, badRequest("Request-URI", "no scheme")
	case !strings.EqualFold(scheme, "sip") && !strings.EqualFold(scheme, "sips") && !strings.EqualFold(scheme, "tel"):
		return m, &Error{416, "Request-URI", "scheme " + scheme}
	}
	if !strings.EqualFold(scheme, "tel") {
		if _, err := ParseURI(uri); err != nil {
			return m, badRequest("Request-URI", "%v", err)
		}
	}
	return m, nil
}

func cutLast(s, sep string) (before, after string, ok bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// addFieldLine parses one unfolded header line and adds its field or fields.
func (m *Message) addFieldLine(line string) error {
	name, value, ok := strings.Cut(line, ":")
	name = strings.ToLower(strings.TrimRight(name, " \t"))
	if !ok || !isToken(name) {
		return badRequest("", "a line that is no header field")
	}
	if long := compactForms[name]; long != "" {
		name = long
	}
	value = strings.Trim(value, " \t")
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return badRequest(canonicalName(name), "a control character")
		}
	}
	switch name {
	case "via", "route", "record-route":
		for _, one := range split(value, ',') {
			if len(m.Fields) >= MaxFields {
				return badRequest("", "over %d header fields", MaxFields)
			}
			m.Fields = append(m.Fields, Field{name, one})
		}
	default:
		m.Fields = append(m.Fields, Field{name, value})
	}
	return nil
}

// split splits a list at separators that are neither quoted nor within <>.
func split(s string, sep byte) (parts []string) {
	quoted, angle, from := false, false, 0
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '<':
			angle = true
		case c == '>':
			angle = false
		case c == sep && !angle:
			parts = append(parts, strings.Trim(s[from:i], " \t"))
			from = i + 1
		}
	}
	return append(parts, strings.Trim(s[from:], " \t"))
}

// singletonFields may occur only once in a message. A duplicate is an error, because the
// next hop might use either of the two values.
var singletonFields = []string{"from", "to", "call-id", "cseq", "max-forwards", "content-length", "content-type", "expires"}

// parseFields parses and validates the fields that the proxy acts on.
func (m *Message) parseFields(length *int) (err error) {
	note := func(e error) {
		if err == nil && e != nil {
			err = e
		}
	}
	for _, name := range singletonFields {
		n := 0
		for _, f := range m.Fields {
			if f.Name == name {
				n++
			}
		}
		if n > 1 {
			note(badRequest(canonicalName(name), "given %d times", n))
		}
	}
	if via, ok := m.Get("via"); !ok {
		note(badRequest("Via", "missing"))
	} else {
		v, e := ParseVia(via)
		m.Via = v
		note(e)
	}
	var ok bool
	if m.CallID, ok = m.Get("call-id"); !ok || m.CallID == "" || strings.ContainsAny(m.CallID, " \t") {
		note(badRequest("Call-ID", "missing or with a space"))
	}
	if cseq, ok := m.Get("cseq"); !ok {
		note(badRequest("CSeq", "missing"))
	} else {
		number, method, _ := strings.Cut(strings.ReplaceAll(cseq, "\t", " "), " ")
		method = strings.Trim(method, " ")
		n, e := strconv.ParseUint(number, 10, 31) // RFC 3261 section 8.1.1.5: below 2^31
		m.CSeq, m.CSeqMethod = uint32(n), method
		switch {
		case e != nil || number[0] == '+':
			note(badRequest("CSeq", "%q is no number below 2^31", number))
		case !isToken(method):
			note(badRequest("CSeq", "no method"))
		case m.IsRequest() && method != m.Method:
			note(badRequest("CSeq", "of method %s in a %s", method, m.Method))
		}
	}
	for _, side := range []struct {
		name string
		tag  *string
	}{{"from", &m.FromTag}, {"to", &m.ToTag}} {
		value, ok := m.Get(side.name)
		if !ok {
			note(badRequest(canonicalName(side.name), "missing"))
			continue
		}
		a, e := ParseAddress(value)
		if e != nil {
			note(badRequest(canonicalName(side.name), "%v", e))
			continue
		}
		*side.tag, _ = param(a.Params, "tag")
	}
	for _, name := range []string{"route", "record-route"} {
		for _, value := range m.All(name) {
			if _, e := ParseAddress(value); e != nil || !strings.Contains(value, "<") {
				note(badRequest(canonicalName(name), "%q is no name-addr", value))
			}
		}
	}
	if value, ok := m.Get("max-forwards"); ok {
		if n, e := parseDecimal(value, 255); e != nil || n > 255 {
			note(badRequest("Max-Forwards", "%q is not 0 to 255", value))
		}
	}
	if value, ok := m.Get("content-length"); ok {
		n, e := parseDecimal(value, 1<<30)
		if e != nil {
			note(badRequest("Content-Length", "%v", e))
		} else {
			*length = n
		}
	}
	return err
}

// parseDecimal parses an unsigned decimal number without a sign.
func parseDecimal(s string, most int) (int, error) {
	if s == "" || len(s) > 10 || strings.Trim(s, "0123456789") != "" {
		return 0, errors.New("no number in digits alone")
	}
	n, err := strconv.Atoi(s)
	if err != nil || n > most {
		return 0, errors.New("over " + strconv.Itoa(most))
	}
	return n, nil
}

// MaxForwards returns the number of hops that a request has left, or -1 if the field is
// missing or invalid.
func (m *Message) MaxForwards() int {
	if value, ok := m.Get("max-forwards"); ok {
		if n, err := parseDecimal(value, 255); err == nil {
			return n
		}
	}
	return -1
}

// Answerable reports whether enough of a malformed request could be parsed for a response
// that its sender can match to it.
func (m *Message) Answerable() bool {
	_, from := m.Get("from")
	_, to := m.Get("to")
	return m != nil && m.IsRequest() && m.Method != Ack && m.Via.Host != "" && m.CallID != "" && m.CSeqMethod != "" && from && to
}
