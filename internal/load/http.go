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

// maxBody limits request and response bodies, in bytes.
const maxBody = 64 << 20

// HTTPOptions describe the requests to one URL.
type HTTPOptions struct {
	URL              string
	Method           string
	Header           http.Header // "%n" in a value is replaced by the request's number
	Body             []byte
	Sources          int  // number of source addresses, from 127.0.0.2; 0: chosen by the system
	MaxIdlePerSource int  // maximum of idle connections per source
	Fresh            bool // a new connection for each request
}

// HTTP is a Target that sends requests over HTTP/1.1.
type HTTP struct {
	opt     HTTPOptions
	clients []*http.Transport
}

// NewHTTP returns a target that the caller has to Close.
func NewHTTP(o HTTPOptions) (*HTTP, error) {
	u, err := url.Parse(o.URL)
	switch {
	case err != nil:
		return nil, fmt.Errorf("load: %w", err)
	case u.Scheme != "http" || u.Host == "":
		return nil, fmt.Errorf("load: %q is not of the form http://host:port/path", o.URL)
	case len(o.Body) > maxBody:
		return nil, fmt.Errorf("load: body of %d bytes exceeds the limit of %d", len(o.Body), maxBody)
	case o.Sources < 0 || o.Sources > 250:
		return nil, fmt.Errorf("load: %d source addresses, must be from 0 to 250", o.Sources)
	}
	if o.Sources > 0 { // a loopback source address can only reach loopback targets
		host, err := netip.ParseAddr(u.Hostname())
		if err != nil || !host.IsLoopback() || !host.Is4() {
			return nil, fmt.Errorf("load: source addresses need a target in 127.0.0.0/8, not %q", u.Hostname())
		}
	}
	h := &HTTP{opt: o}
	for i := range max(1, o.Sources) {
		dialer := net.Dialer{Timeout: 5 * time.Second}
		if o.Sources > 0 {
			dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i))}
		}
		h.clients = append(h.clients, &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: max(1, o.MaxIdlePerSource), IdleConnTimeout: 30 * time.Second,
			DisableCompression: true, DisableKeepAlives: o.Fresh,
		})
	}
	return h, nil
}

// Close closes the idle connections.
func (h *HTTP) Close() {
	for _, c := range h.clients {
		c.CloseIdleConnections()
	}
}

// Do implements Target. If a reused connection turns out to be closed, net/http resends
// an idempotent request; any other ends as Broken.
func (h *HTTP) Do(ctx context.Context, n uint64, _ time.Time) Outcome {
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
	if got, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)); err != nil || got == maxBody {
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

// ParseHeader adds a header written as "Name: value" to into.
func ParseHeader(into http.Header, text string) error {
	name, value, ok := strings.Cut(text, ":")
	if name = strings.TrimSpace(name); !ok || name == "" {
		return errors.New("load: a header must have the form \"Name: value\"")
	}
	into.Add(name, strings.TrimSpace(value))
	return nil
}
