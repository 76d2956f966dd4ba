package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"
)

// mostBody bounds an answer that is read, and one that is sent.
const mostBody = 64 << 20

// HTTPOptions describe requests to one address.
type HTTPOptions struct {
	URL     string
	Method  string
	Header  http.Header // "%n" in a value is the request's number
	Body    []byte
	Sources int  // source addresses 127.0.0.2 and on; 0: whatever the system gives
	Kept    int  // idle connections kept for each source
	Fresh   bool // a new connection for each request
}

// HTTP is a target that speaks HTTP/1.1.
type HTTP struct {
	opt     HTTPOptions
	clients []*http.Transport
}

// NewHTTP makes one; Close it in the end.
func NewHTTP(o HTTPOptions) (*HTTP, error) {
	u, err := url.Parse(o.URL)
	switch {
	case err != nil:
		return nil, fmt.Errorf("load: %w", err)
	case u.Scheme != "http" || u.Host == "":
		return nil, fmt.Errorf("load: %q is no http://host:port/path", o.URL)
	case len(o.Body) > mostBody:
		return nil, fmt.Errorf("load: a body of %d bytes, at most %d", len(o.Body), mostBody)
	case o.Sources < 0 || o.Sources > 250:
		return nil, fmt.Errorf("load: %d source addresses: 0 to 250", o.Sources)
	}
	if o.Sources > 0 { // addresses of the loopback network reach nothing else
		host, err := netip.ParseAddr(u.Hostname())
		if err != nil || !host.IsLoopback() || !host.Is4() {
			return nil, fmt.Errorf("load: source addresses are for targets on 127.0.0.0/8, %q is none", u.Hostname())
		}
	}
	h := &HTTP{opt: o}
	for i := range max(1, o.Sources) {
		dialer := net.Dialer{Timeout: 5 * time.Second}
		if o.Sources > 0 {
			dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i))}
		}
		h.clients = append(h.clients, &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: max(1, o.Kept), IdleConnTimeout: 30 * time.Second,
			DisableCompression: true, DisableKeepAlives: o.Fresh,
		})
	}
	return h, nil
}

// Close ends the connections that are kept.
func (h *HTTP) Close() {
	for _, c := range h.clients {
		c.CloseIdleConnections()
	}
}

// Ask implements Target. net/http sends a request without effect once more if a kept
// connection turns out dead; others end as Broken.
func (h *HTTP) Ask(ctx context.Context, n uint64, _ time.Time) Outcome {
	r, err := http.NewRequestWithContext(ctx, h.opt.Method, h.opt.URL, bytes.NewReader(h.opt.Body))
	if err != nil {
		return Broken
	}
	for name, values := range h.opt.Header {
		for _, v := range values {
			r.Header.Add(name, strings.ReplaceAll(v, "%n", fmt.Sprintf("%016x", n)))
		}
	}
	resp, err := h.clients[n%uint64(len(h.clients))].RoundTrip(r)
	if err != nil {
		return Broken
	}
	defer resp.Body.Close()
	if got, err := io.Copy(io.Discard, io.LimitReader(resp.Body, mostBody)); err != nil || got == mostBody {
		return Broken
	}
	switch {
	case resp.StatusCode/100 == 2:
		return Served
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return Refused
	}
	return Failed
}

// ParseHeader reads "Name: value".
func ParseHeader(into http.Header, text string) error {
	name, value, ok := strings.Cut(text, ":")
	if name = strings.TrimSpace(name); !ok || name == "" {
		return errors.New("load: a header is written \"Name: value\"")
	}
	into.Add(name, strings.TrimSpace(value))
	return nil
}
