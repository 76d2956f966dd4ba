package message

import (
	"errors"
	"net/netip"
	"strconv"
	"strings"
)

// Via is one value of a Via field (RFC 3261 section 20.42).
type Via struct {
	Transport string // in upper case: UDP, TCP, TLS ...
	Host      string // sent-by host, without the brackets of an IPv6 address
	Port      int    // sent-by port; 0 if not given
	Branch    string
	Rport     bool   // the client asked for rport (RFC 3581)
	raw       string // the value without its received and rport parameters
}

// ParseVia parses one value of a Via field.
func ParseVia(value string) (Via, error) {
	parts := split(value, ';')
	protocol := strings.Split(parts[0], "/")
	if len(protocol) != 3 || !strings.EqualFold(strings.Trim(protocol[0], " \t"), "SIP") || strings.Trim(protocol[1], " \t") != "2.0" {
		return Via{}, badRequest("Via", "no SIP/2.0 in it")
	}
	words := strings.Fields(protocol[2])
	if len(words) < 2 || !isToken(words[0]) {
		return Via{}, badRequest("Via", "no transport and sent-by")
	}
	v := Via{Transport: strings.ToUpper(words[0])}
	sentBy := strings.Join(words[1:], "") // spaces around the colon are allowed
	host, port, err := hostPort(sentBy)
	if err != nil {
		return Via{}, badRequest("Via", "sent-by: %v", err)
	}
	v.Host, v.Port = host, port
	raw := []string{"SIP/2.0/" + v.Transport + " " + sentBy}
	for _, p := range parts[1:] {
		name, value, _ := strings.Cut(p, "=")
		name, value = strings.ToLower(strings.Trim(name, " \t")), strings.Trim(value, " \t")
		switch {
		case !isToken(name):
			return Via{}, badRequest("Via", "a parameter without a name")
		case name == "branch":
			if v.Branch != "" || !isToken(value) {
				return Via{}, badRequest("Via", "branch: %q", value)
			}
			v.Branch = value
		case name == "rport":
			v.Rport = true
			continue
		case name == "received":
			continue
		}
		raw = append(raw, p)
	}
	v.raw = strings.Join(raw, ";")
	return v, nil
}

// SentBy returns host and port as a map key, with the default port filled in.
func (v Via) SentBy() string {
	return strings.ToLower(v.Host) + " " + strconv.Itoa(int(v.EffectivePort()))
}

// EffectivePort returns the port of sent-by, or the transport's default port if it is not
// given.
func (v Via) EffectivePort() uint16 {
	switch {
	case v.Port != 0:
		return uint16(v.Port)
	case v.Transport == "TLS":
		return 5061
	}
	return 5060
}

// WithReceived returns the value with the request's actual source address in received and
// rport (RFC 3261 section 18.2.1, RFC 3581 section 4).
func (v Via) WithReceived(from netip.AddrPort) string {
	value := v.raw
	if sent, err := netip.ParseAddr(v.Host); err != nil || sent.Unmap() != from.Addr().Unmap() || v.Rport {
		value += ";received=" + from.Addr().Unmap().String()
	}
	if v.Rport {
		value += ";rport=" + strconv.Itoa(int(from.Port()))
	}
	return value
}

// hostPort parses host[:port]. The host is a name, an IPv4 address or an IPv6 address in
// brackets.
func hostPort(s string) (host string, port int, err error) {
	rest := ""
	if strings.HasPrefix(s, "[") {
		end := strings.IndexByte(s, ']')
		if end < 0 {
			return "", 0, errors.New("an address without its closing bracket")
		}
		host, rest = s[1:end], s[end+1:]
		if a, err := netip.ParseAddr(host); err != nil || !a.Is6() || a.Zone() != "" {
			return "", 0, errors.New("no IPv6 address in brackets")
		}
	} else {
		host = s
		if i := strings.IndexByte(s, ':'); i >= 0 {
			host, rest = s[:i], s[i:]
		}
		if host == "" || strings.Trim(host, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._") != "" {
			return "", 0, errors.New("no host")
		}
	}
	if rest == "" {
		return host, 0, nil
	}
	if rest[0] != ':' {
		return "", 0, errors.New("what follows the host is no port")
	}
	if port, err = parseDecimal(rest[1:], 65535); err != nil || port == 0 {
		return "", 0, errors.New("no port")
	}
	return host, port, nil
}

// URI holds the parts of a sip: or sips: URI that the proxy uses.
type URI struct {
	Scheme string // in lower case
	User   string // as written, without a password; "" for none
	Host   string
	Port   int
	Params string // as written, from the first ";"
}

// ParseURI parses a sip: or sips: URI.
func ParseURI(s string) (URI, error) {
	scheme, rest, ok := strings.Cut(s, ":")
	u := URI{Scheme: strings.ToLower(scheme)}
	if !ok || u.Scheme != "sip" && u.Scheme != "sips" {
		return URI{}, errors.New("no sip: or sips: URI")
	}
	if at := strings.LastIndexByte(rest, '@'); at >= 0 {
		u.User, _, _ = strings.Cut(rest[:at], ":")
		if u.User == "" {
			return URI{}, errors.New("an empty user")
		}
		rest = rest[at+1:]
	}
	end := strings.IndexAny(rest, ";?")
	if end < 0 {
		end = len(rest)
	} else if rest[end] == ';' {
		u.Params, _, _ = strings.Cut(rest[end:], "?")
	}
	var err error
	u.Host, u.Port, err = hostPort(rest[:end])
	return u, err
}

// Param returns the value of a URI parameter, "" for one without a value, and whether it is
// present.
func (u URI) Param(name string) (string, bool) { return param(u.Params, name) }

// Address is a name-addr or addr-spec (RFC 3261 section 20.10).
type Address struct {
	URI    string
	Params string // field parameters, from the first ";"
}

// ParseAddress parses one value of From, To, Contact, Route or Record-Route.
func ParseAddress(value string) (Address, error) {
	if strings.HasPrefix(value, "\"") { // a quoted display name may contain any character
		i := 1
		for i < len(value) && value[i] != '"' {
			if value[i] == '\\' {
				i++
			}
			i++
		}
		if i >= len(value) {
			return Address{}, errors.New("a quoted name without its end")
		}
		value = strings.TrimLeft(value[i+1:], " \t")
		if !strings.HasPrefix(value, "<") {
			return Address{}, errors.New("a name without an address in <>")
		}
	}
	var a Address
	if from := strings.IndexByte(value, '<'); from >= 0 {
		end := strings.IndexByte(value[from:], '>')
		if end < 0 {
			return Address{}, errors.New("an address without its closing >")
		}
		a.URI, a.Params = value[from+1:from+end], strings.Trim(value[from+end+1:], " \t")
	} else {
		end := strings.IndexByte(value, ';')
		if end < 0 {
			end = len(value)
		}
		a.URI, a.Params = strings.TrimRight(value[:end], " \t"), value[end:]
		if strings.ContainsAny(a.URI, "?, \t") {
			return Address{}, errors.New("such an address must stand in <>")
		}
	}
	if scheme, _, ok := strings.Cut(a.URI, ":"); !ok || !isToken(scheme) || strings.ContainsAny(a.URI, "<\"") {
		return Address{}, errors.New("no address")
	}
	if a.Params != "" && a.Params[0] != ';' {
		return Address{}, errors.New("what follows the address is no parameter")
	}
	return a, nil
}

// param finds a parameter in a list such as ";name=value;name".
func param(params, name string) (string, bool) {
	if params == "" {
		return "", false
	}
	for _, p := range split(params, ';') {
		n, value, _ := strings.Cut(p, "=")
		if strings.EqualFold(strings.Trim(n, " \t"), name) {
			return strings.Trim(value, " \t"), true
		}
	}
	return "", false
}
