package fields

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
)

func TestAddForwardedFormatsAddresses(t *testing.T) {
	for source, want := range map[string]string{
		"10.0.0.1": "for=10.0.0.1;proto=https", "::ffff:10.0.0.1": "for=10.0.0.1;proto=https", "fd00::1": `for="[fd00::1]";proto=https`,
	} {
		h := http.Header{}
		AddForwarded(h, Origin{Source: netip.MustParseAddr(source), Host: `a"b`, TLS: true})
		if got := h.Get("Forwarded"); got != want+`;host="a\"b"` {
			t.Errorf("%s: %s", source, got)
		}
	}
}

func TestNextSpan(t *testing.T) {
	const good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	a, b := NextSpan(good), NextSpan(good)
	if a == b || a == good || len(a) != len(good) || !strings.HasPrefix(a, good[:36]) || !strings.HasSuffix(a, "-01") {
		t.Errorf("%s, %s", a, b)
	}
	for _, odd := range []string{"", "00-x", "ff" + good[2:], "00-0af7-b7ad6b7169203331-01"} {
		if got := NextSpan(odd); got != odd {
			t.Errorf("malformed traceparent %q became %q", odd, got)
		}
	}
}

// FuzzRemoveHopByHop checks that for any Connection value the hop-by-hop fields are removed
// and the protected fields stay.
func FuzzRemoveHopByHop(f *testing.F) {
	f.Add("X-Hop, close", "a")
	f.Add("host, CONTENT-LENGTH,idempotency-key", "")
	f.Add(", ,;", "\x00")
	f.Fuzz(func(t *testing.T, connection, value string) {
		h := http.Header{"Connection": {connection}, "Host": {"a"}, "Content-Length": {"1"}, "Idempotency-Key": {"k"}, "Keep-Alive": {value}, "Te": {value}}
		RemoveHopByHop(h)
		if len(h["Host"])+len(h["Content-Length"])+len(h["Idempotency-Key"]) != 3 {
			t.Errorf("Connection %q removed a protected field: %v", connection, h)
		}
		if len(h["Connection"])+len(h["Keep-Alive"])+len(h["Te"]) != 0 {
			t.Errorf("Connection %q left hop-by-hop fields: %v", connection, h)
		}
	})
}
