package node

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"otterstep/internal/wire"
	"otterstep/policy"
)

// front is the client side: it turns requests into events of the loop and the
// loop's answers into responses.
type front struct {
	loop     *loop
	site     wire.Site
	clients  *clients
	ready    func() bool
	classes  map[string]int
	tenants  map[string]int
	draining atomic.Bool // answers close their connections
}

func newFront(l *loop, site wire.Site, g *clients, ready func() bool) *front {
	f := &front{
		loop: l, site: site, clients: g, ready: ready,
		classes: map[string]int{}, tenants: map[string]int{},
	}
	for i, name := range site.Classes {
		f.classes[name] = i
	}
	for i, name := range site.Tenants {
		f.tenants[name] = i
	}
	return f
}

// clientError is what is wrong with a request, in words for its sender.
type clientError struct {
	code int
	text string
}

func (e *clientError) Error() string { return e.text }

func badRequest(format string, args ...any) error {
	return &clientError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := f.loop.clock.now()
	place := f.clients.admit(r.Context())
	if place.evicted {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/up" {
		f.close(w)
		if !f.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
		return
	}
	q, m, err := f.parse(w, r, came)
	if err != nil {
		code := http.StatusBadRequest
		if bad := (*clientError)(nil); errors.As(err, &bad) {
			code = bad.code
		}
		w.Header().Set("Connection", "close") // what follows on it can't be trusted
		http.Error(w, err.Error(), code)
		return
	}
	if place.full { // nothing was sent for it, so that the promise of a refusal holds
		w.Header().Set("Connection", "close")
		write(w, answer{kind: refused, retryAfter: f.site.Settings.Limits.MaxRetryAfter})
		return
	}
	// The request is whole; the time limit on reading it must not end the wait.
	// A connection that can't take this back is broken and shows as such.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})

	answers := make(chan answer, 1)
	var taken *request
	if !f.loop.post(func() { taken = f.loop.submit(q, m, answers) }) {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	select {
	case a := <-answers:
		f.close(w)
		write(w, a)
	case <-r.Context().Done(): // the client went away
		f.loop.post(func() { f.loop.left(taken) })
	case <-f.loop.stopped:
		http.Error(w, "shutting down", http.StatusBadGateway)
	}
}

// close ends the connection behind the answer while the node drains or few
// descriptors are left: nothing can cross such a close. It is asked when the answer
// is there, as much may have changed since the request came.
func (f *front) close(w http.ResponseWriter) {
	if f.draining.Load() || f.clients.crowded() {
		w.Header().Set("Connection", "close")
	}
}

// parse reads a request whole. What it can't make sense of is an error at once.
func (f *front) parse(w http.ResponseWriter, r *http.Request, came time.Duration) (q policy.Request, m *message, err error) {
	one := func(name string) string {
		if values := r.Header[name]; len(values) > 1 && err == nil {
			err = badRequest("%s: given twice", name)
		}
		return r.Header.Get(name)
	}
	id, class, tenant := one("X-Correlation-Id"), one("X-Service-Class"), one("X-Account")
	timeLeft, hint, idempotency := one("X-Time-Left"), one("X-Weight-Hint"), one("Idempotency-Key")
	if err != nil {
		return q, nil, err
	}
	if id == "" {
		return q, nil, badRequest("X-Correlation-Id: missing")
	}
	var ok bool
	if q.Class, ok = f.classes[class]; !ok {
		return q, nil, badRequest("X-Service-Class: unknown class %q", class)
	}
	if q.Tenant, ok = f.tenants[tenant]; !ok && len(f.tenants) > 0 {
		return q, nil, badRequest("X-Account: unknown account %q", tenant)
	}
	first, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if first != class || !strings.HasPrefix(r.RequestURI, "/"+class) {
		return q, nil, badRequest("path %q is not of class %q", r.URL.Path, class)
	}
	q.Key = key(rest)
	left, err := number("X-Time-Left", timeLeft, time.Second)
	if err != nil {
		return q, nil, err
	}
	if hint != "" {
		if q.Hint, err = number("X-Weight-Hint", hint, time.Microsecond); err != nil {
			return q, nil, err
		}
	}
	rules := f.site.Settings.Classes[q.Class]
	switch method := r.Method; {
	case rules.Effect == policy.Safe && method != http.MethodGet,
		rules.Effect != policy.Safe && method != http.MethodPost:
		return q, nil, &clientError{http.StatusMethodNotAllowed, "method does not fit class " + class}
	case (rules.Effect == policy.Keyed) != (idempotency != ""):
		return q, nil, badRequest("Idempotency-Key does not fit class %q", class)
	case method == http.MethodGet && r.ContentLength != 0:
		return q, nil, badRequest("a GET has no body here")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
			return q, nil, &clientError{http.StatusRequestEntityTooLarge, "body over 64 KiB"}
		}
		return q, nil, badRequest("body: %v", err)
	}
	m = &message{
		method: r.Method, uri: r.RequestURI, host: r.Host, body: body,
		header: make(http.Header, len(forwarded)), deadline: came + min(left, rules.Deadline),
	}
	for _, name := range forwarded {
		if values := r.Header[name]; len(values) > 0 {
			m.header[name] = values
		}
	}
	return q, m, nil
}

// number reads a time given as a decimal number of units.
func number(name, text string, unit time.Duration) (time.Duration, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 1) {
		return 0, badRequest("%s: not a time: %q", name, text)
	}
	return time.Duration(min(v, float64(time.Hour/unit)) * float64(unit)), nil
}

// key hashes the last part of a path behind its class; 0 where there is none.
func key(rest string) uint64 {
	last := rest[strings.LastIndexByte(rest, '/')+1:]
	if last == "" {
		return 0
	}
	h := fnv.New64a()
	io.WriteString(h, last)
	return max(h.Sum64(), 1)
}

// write passes an answer on. An error of the connection is the client's leaving:
// the answer was given.
func write(w http.ResponseWriter, a answer) {
	switch a.kind {
	case served:
		if a.reply.contentType != "" {
			w.Header().Set("Content-Type", a.reply.contentType)
		} else {
			w.Header()["Content-Type"] = nil // don't guess it from the body
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.reply.body)))
		_, _ = w.Write(a.reply.body)
	case refused:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused, try again", http.StatusServiceUnavailable)
	case failed:
		http.Error(w, "failed", http.StatusBadGateway)
	case overdue:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	}
}
