// Package fields applies the header rules for HTTP intermediaries (RFC 9110, section 7.6):
// it removes hop-by-hop fields, extends Via and Forwarded, and drops forwarding fields sent
// by untrusted clients. It does no I/O.
package fields

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/netip"
	"net/textproto"
	"strings"
)

// hopByHop lists the fields that are removed whether or not Connection names them (RFC 9110,
// section 7.6.1). Transfer-Encoding is among them because each message is framed anew.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Authentication-Info", "Http2-Settings",
}

// protected lists the fields that Connection cannot remove: Content-Length for the framing,
// and the fields that a client must not be able to hide from routing and retry rules.
var protected = map[string]bool{"Content-Length": true, "Host": true, "Idempotency-Key": true}

// RemoveHopByHop removes the hop-by-hop fields, including those that Connection names.
func RemoveHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); !protected[name] {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// UpgradeProtocol returns the protocol that a message asks to upgrade to; "" for none. An
// upgrade to h2c is ignored: HTTP/2 deprecates it (RFC 9113, section 3.1).
func UpgradeProtocol(h http.Header) string {
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

// AcceptsTrailers reports whether the sender accepts trailer fields (TE: trailers).
func AcceptsTrailers(h http.Header) bool {
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

// AddVia adds name to Via (RFC 9110, section 7.6.3). major and minor are the HTTP version
// in which the message was received.
func AddVia(h http.Header, major, minor int, name string) {
	version := "2"
	if major < 2 {
		version = string([]byte{byte('0' + major), '.', byte('0' + minor)})
	}
	h["Via"] = append(h["Via"], version+" "+name)
}

// ViaContains reports whether Via already names this intermediary, which means a loop.
func ViaContains(h http.Header, name string) bool {
	for _, line := range h["Via"] {
		for entry := range strings.SplitSeq(line, ",") {
			if parts := strings.Fields(entry); len(parts) > 1 && parts[1] == name {
				return true
			}
		}
	}
	return false
}

// Origin describes the sender of a message.
type Origin struct {
	Source netip.Addr
	Host   string
	TLS    bool
	// Trusted reports whether the forwarding fields that it sent are kept.
	Trusted bool
}

// forwardedHeaders lists the fields in which proxies describe the original client.
var forwardedHeaders = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Forwarded-Port", "X-Forwarded-Server", "X-Real-Ip"}

// AddForwarded describes the sender in Forwarded (RFC 7239) and in the older X-Forwarded
// fields. Values sent by an untrusted origin are removed first.
func AddForwarded(h http.Header, o Origin) {
	if !o.Trusted {
		for _, name := range forwardedHeaders {
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
	appendElement(h, "Forwarded", element)
	appendElement(h, "X-Forwarded-For", source.String())
	if h.Get("X-Forwarded-Proto") == "" {
		h.Set("X-Forwarded-Proto", proto)
	}
	if h.Get("X-Forwarded-Host") == "" && o.Host != "" {
		h.Set("X-Forwarded-Host", o.Host)
	}
}

// appendElement appends to a list-valued field and joins its lines into one.
func appendElement(h http.Header, name, value string) {
	h.Set(name, strings.Join(append(h[name], value), ", "))
}

// NextSpan returns traceparent with a new span id, for one attempt. A malformed value is
// returned unchanged (W3C Trace Context, section 2.2).
func NextSpan(traceparent string) string {
	parts := strings.Split(traceparent, "-")
	if len(parts) < 4 || len(parts[0]) != 2 || len(parts[1]) != 32 || len(parts[2]) != 16 || len(parts[3]) != 2 || parts[0] == "ff" {
		return traceparent
	}
	var span [8]byte
	_, _ = rand.Read(span[:]) // crypto/rand.Read never returns an error
	span[0] |= 1              // an all-zero id is invalid
	parts[2] = hex.EncodeToString(span[:])
	return strings.Join(parts, "-")
}
