// Package fields does what an intermediary owes the header of a message (RFC 9110, section
// 7.6): fields of one hop end, Via and Forwarded grow, and what strangers claim of others
// is not believed. It does no I/O.
package fields

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/netip"
	"net/textproto"
	"strings"
)

// hop are the fields of one hop, whether Connection names them or not (RFC 9110, section
// 7.6.1); Transfer-Encoding and Content-Length are the framing's, which is made anew.
var hop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Authentication-Info", "Http2-Settings",
}

// kept are fields that no Connection can take away: the framing's own, and those that say
// for whom a message is, which a client must not hide from the rules.
var kept = map[string]bool{"Content-Length": true, "Host": true, "Idempotency-Key": true}

// EndHop takes out the fields of one hop, those that Connection names among them.
func EndHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); !kept[name] {
				delete(h, name)
			}
		}
	}
	for _, name := range hop {
		delete(h, name)
	}
}

// Upgrade gives the protocol that a message asks to change to; "" for none. HTTP/2 by
// upgrade is none: the HTTP/2 specification gave it up (RFC 9113, section 3.1).
func Upgrade(h http.Header) string {
	for _, line := range h["Connection"] {
		for word := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(word), "upgrade") {
				if to := strings.Join(h["Upgrade"], ", "); !strings.HasPrefix(to, "h2c") {
					return to
				}
			}
		}
	}
	return ""
}

// Trailers tells that the other side takes trailer fields (TE: trailers).
func Trailers(h http.Header) bool {
	for _, line := range h["Te"] {
		for word := range strings.SplitSeq(line, ",") {
			word, _, _ = strings.Cut(word, ";")
			if strings.EqualFold(strings.TrimSpace(word), "trailers") {
				return true
			}
		}
	}
	return false
}

// Via notes that a message passed (RFC 9110, section 7.6.3). major and minor are the
// version that it came in.
func Via(h http.Header, major, minor int, name string) {
	version := "2"
	if major < 2 {
		version = string([]byte{byte('0' + major), '.', byte('0' + minor)})
	}
	h["Via"] = append(h["Via"], version+" "+name)
}

// Looped tells that a message has passed name before.
func Looped(h http.Header, name string) bool {
	for _, line := range h["Via"] {
		for step := range strings.SplitSeq(line, ",") {
			if words := strings.Fields(step); len(words) > 1 && words[1] == name {
				return true
			}
		}
	}
	return false
}

// Origin is whom a message came from.
type Origin struct {
	Source netip.Addr
	Host   string
	TLS    bool
	// Trusted tells that what it says of others is believed.
	Trusted bool
}

// forwarded are the fields in which proxies tell of a client.
var forwarded = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Forwarded-Port", "X-Forwarded-Server", "X-Real-Ip"}

// Forward tells the server whom a message came from, by Forwarded (RFC 7239) and by the
// older X-Forwarded fields. What an untrusted origin says there goes.
func Forward(h http.Header, o Origin) {
	if !o.Trusted {
		for _, name := range forwarded {
			delete(h, name)
		}
	}
	proto := "http"
	if o.TLS {
		proto = "https"
	}
	source := o.Source.Unmap()
	node := source.String()
	if source.Is6() {
		node = `"[` + node + `]"`
	}
	element := "for=" + node + ";proto=" + proto
	if o.Host != "" {
		element += `;host="` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(o.Host) + `"`
	}
	join(h, "Forwarded", element)
	join(h, "X-Forwarded-For", source.String())
	if h.Get("X-Forwarded-Proto") == "" {
		h.Set("X-Forwarded-Proto", proto)
	}
	if h.Get("X-Forwarded-Host") == "" && o.Host != "" {
		h.Set("X-Forwarded-Host", o.Host)
	}
}

// join adds to a field that is a list, on one line.
func join(h http.Header, name, value string) {
	h.Set(name, strings.Join(append(h[name], value), ", "))
}

// NextSpan gives a traceparent with a span id of its own for one attempt; one that can't be
// read is passed on as it is (W3C Trace Context, section 2.2).
func NextSpan(traceparent string) string {
	parts := strings.Split(traceparent, "-")
	if len(parts) < 4 || len(parts[0]) != 2 || len(parts[1]) != 32 || len(parts[2]) != 16 || len(parts[3]) != 2 || parts[0] == "ff" {
		return traceparent
	}
	var span [8]byte
	_, _ = rand.Read(span[:]) // never fails, see crypto/rand
	span[0] |= 1              // an id of zeros is none
	parts[2] = hex.EncodeToString(span[:])
	return strings.Join(parts, "-")
}
