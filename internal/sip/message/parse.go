package message

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Parse reads one whole message, as a datagram holds it; what follows a body of its
// stated length is dropped (RFC 3261 section 18.3). The message keeps none of data.
//
// Beside an error it gives what could be read, if that is a request and enough for a
// response: see Answerable.
func Parse(data []byte) (*Message, error) {
	data = bytes.TrimLeft(data, "\r\n") // RFC 3261 section 7.5
	end := headEnd(data)
	if end < 0 {
		return nil, bad("", "no empty line ends the header")
	}
	m, length, err := head(data[:end])
	if m == nil {
		return nil, err
	}
	body := data[end:]
	if length >= 0 {
		if length > len(body) {
			if err == nil {
				err = bad("Content-Length", "%d, but %d bytes follow", length, len(body))
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

// headEnd gives where a header with its empty line ends; -1 if it does not.
func headEnd(data []byte) int {
	if i := bytes.Index(data, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return -1
}

// head reads a start line and fields. length is -1 where none is told. Only the first
// error is told; the message is nil when not even its kind is known.
func head(data []byte) (m *Message, length int, err error) {
	length = -1
	note := func(e error) {
		if err == nil {
			err = e
		}
	}
	text := string(data[:len(data)-4])
	start, rest, _ := strings.Cut(text, "\r\n")
	m, e := startLine(start)
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
			if len(line) > MostLine {
				break
			}
		}
		if len(line) > MostLine {
			return m, length, bad("", "a line of over %d bytes", MostLine)
		}
		if len(m.Fields) >= MostFields {
			return m, length, bad("", "over %d header fields", MostFields)
		}
		note(m.field(line))
	}
	note(m.understand(&length))
	return m, length, err
}

func startLine(line string) (*Message, error) {
	if len(line) > MostLine {
		return nil, bad("", "a start line of over %d bytes", MostLine)
	}
	if i := strings.IndexFunc(line, func(r rune) bool { return r < ' ' || r == 0x7f }); i >= 0 {
		return nil, bad("", "a control character in the start line")
	}
	if version, rest, ok := strings.Cut(line, " "); ok && len(version) > 4 && strings.EqualFold(version[:4], "SIP/") {
		code, reason, _ := strings.Cut(rest, " ")
		n, err := strconv.Atoi(code)
		switch {
		case !strings.EqualFold(version, "SIP/2.0"):
			return nil, bad("", "a response of version %q", version)
		case err != nil || len(code) != 3 || n < 100 || n > 699:
			return nil, bad("", "no status code: %q", code)
		}
		return &Message{Code: n, Reason: reason}, nil
	}
	method, rest, ok := strings.Cut(line, " ")
	if !ok || !isToken(method) || !strings.Contains(strings.ToUpper(rest), " SIP/") {
		return nil, bad("", "no start line of SIP")
	}
	uri, version, _ := cutLast(rest, " ")
	m := &Message{Method: method, URI: uri}
	scheme, _, ok := strings.Cut(uri, ":")
	switch {
	case len(version) < 4 || !strings.EqualFold(version[:4], "SIP/"):
		return m, bad("", "the start line does not end with its version")
	case !strings.EqualFold(version, "SIP/2.0"):
		return m, &Error{505, "", "version " + version}
	case uri == "" || strings.ContainsAny(uri, " \t<>\""):
		return m, bad("Request-URI", "%q can't be one", uri)
	case !ok || !isToken(scheme):
		return m, bad("Request-URI", "no scheme")
	case !strings.EqualFold(scheme, "sip") && !strings.EqualFold(scheme, "sips") && !strings.EqualFold(scheme, "tel"):
		return m, &Error{416, "Request-URI", "scheme " + scheme}
	}
	if !strings.EqualFold(scheme, "tel") {
		if _, err := ParseURI(uri); err != nil {
			return m, bad("Request-URI", "%v", err)
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

// field adds one line.
func (m *Message) field(line string) error {
	name, value, ok := strings.Cut(line, ":")
	name = strings.ToLower(strings.TrimRight(name, " \t"))
	if !ok || !isToken(name) {
		return bad("", "a line that is no header field")
	}
	if long := compact[name]; long != "" {
		name = long
	}
	value = strings.Trim(value, " \t")
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return bad(spelling(name), "a control character")
		}
	}
	switch name {
	case "via", "route", "record-route":
		for _, one := range split(value, ',') {
			if len(m.Fields) >= MostFields {
				return bad("", "over %d header fields", MostFields)
			}
			m.Fields = append(m.Fields, Field{name, one})
		}
	default:
		m.Fields = append(m.Fields, Field{name, value})
	}
	return nil
}

// split cuts a list at a separator that stands neither in quotes nor in <>.
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

// once are fields of which a message has one, or one at most. Two of them may be read
// as either by whoever stands behind, so none passes.
var once = []string{"from", "to", "call-id", "cseq", "max-forwards", "content-length", "content-type", "expires"}

// understand reads what a proxy goes by.
func (m *Message) understand(length *int) (err error) {
	note := func(e error) {
		if err == nil && e != nil {
			err = e
		}
	}
	for _, name := range once {
		n := 0
		for _, f := range m.Fields {
			if f.Name == name {
				n++
			}
		}
		if n > 1 {
			note(bad(spelling(name), "given %d times", n))
		}
	}
	if via, ok := m.Get("via"); !ok {
		note(bad("Via", "missing"))
	} else {
		v, e := ParseVia(via)
		m.Via = v
		note(e)
	}
	var ok bool
	if m.CallID, ok = m.Get("call-id"); !ok || m.CallID == "" || strings.ContainsAny(m.CallID, " \t") {
		note(bad("Call-ID", "missing or with a space"))
	}
	if cseq, ok := m.Get("cseq"); !ok {
		note(bad("CSeq", "missing"))
	} else {
		number, method, _ := strings.Cut(strings.ReplaceAll(cseq, "\t", " "), " ")
		method = strings.Trim(method, " ")
		n, e := strconv.ParseUint(number, 10, 31) // RFC 3261 section 8.1.1.5: below 2^31
		m.CSeq, m.CSeqOf = uint32(n), method
		switch {
		case e != nil || number[0] == '+':
			note(bad("CSeq", "%q is no number below 2^31", number))
		case !isToken(method):
			note(bad("CSeq", "no method"))
		case m.Request() && method != m.Method:
			note(bad("CSeq", "of method %s in a %s", method, m.Method))
		}
	}
	for _, side := range []struct {
		name string
		tag  *string
	}{{"from", &m.FromTag}, {"to", &m.ToTag}} {
		value, ok := m.Get(side.name)
		if !ok {
			note(bad(spelling(side.name), "missing"))
			continue
		}
		a, e := ParseAddress(value)
		if e != nil {
			note(bad(spelling(side.name), "%v", e))
			continue
		}
		*side.tag, _ = param(a.Params, "tag")
	}
	for _, name := range []string{"route", "record-route"} {
		for _, value := range m.All(name) {
			if _, e := ParseAddress(value); e != nil || !strings.Contains(value, "<") {
				note(bad(spelling(name), "%q is no name-addr", value))
			}
		}
	}
	if value, ok := m.Get("max-forwards"); ok {
		if n, e := digits(value, 255); e != nil || n > 255 {
			note(bad("Max-Forwards", "%q is not 0 to 255", value))
		}
	}
	if value, ok := m.Get("content-length"); ok {
		n, e := digits(value, 1<<30)
		if e != nil {
			note(bad("Content-Length", "%v", e))
		} else {
			*length = n
		}
	}
	return err
}

// digits reads a plain decimal; a sign or anything else is none.
func digits(s string, most int) (int, error) {
	if s == "" || len(s) > 10 || strings.Trim(s, "0123456789") != "" {
		return 0, errors.New("no number in digits alone")
	}
	n, err := strconv.Atoi(s)
	if err != nil || n > most {
		return 0, errors.New("over " + strconv.Itoa(most))
	}
	return n, nil
}

// MaxForwards gives the hops that a request has left; -1 where it does not tell.
func (m *Message) MaxForwards() int {
	if value, ok := m.Get("max-forwards"); ok {
		if n, err := digits(value, 255); err == nil {
			return n
		}
	}
	return -1
}

// Answerable tells whether enough of a broken request could be read for a response
// that its sender will know as one to it.
func (m *Message) Answerable() bool {
	_, from := m.Get("from")
	_, to := m.Get("to")
	return m != nil && m.Request() && m.Method != Ack && m.Via.Host != "" && m.CallID != "" && m.CSeqOf != "" && from && to
}
