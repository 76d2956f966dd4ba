package node

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"otterstep/internal/core"
	"otterstep/internal/life"
	"otterstep/internal/passing"
	"otterstep/internal/web/classify"
	"otterstep/internal/wire"
	"otterstep/policy"
)

// front is the client side: it turns requests into events of the loop and the
// loop's answers into responses.
type front struct {
	loop     *core.Loop
	upstream *upstream
	site     wire.Site
	clients  *clients
	life     *life.Life
	tellUp   bool // /up says no from the first moment of the node's end
	classes  map[string]int
	tenants  map[string]int
	draining atomic.Bool // answers close their connections
	giving   atomic.Bool // likewise, as another process takes over
	bodies   budget      // memory of clients' larger bodies
}

func newFront(l *core.Loop, up *upstream, site wire.Site, g *clients, bodies int64, state *life.Life, tellUp bool) *front {
	f := &front{
		loop: l, upstream: up, site: site, clients: g, life: state, tellUp: tellUp,
		classes: map[string]int{}, tenants: map[string]int{},
	}
	f.bodies.most.Store(bodies)
	for i, name := range site.Classes {
		f.classes[name] = i
	}
	for i, name := range site.Tenants {
		f.tenants[name] = i
	}
	return f
}

// server makes the HTTP server of clients' connections.
func (f *front) server(log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		WriteTimeout: writeTimeout, // of a small answer; what passes has a limit for each part
		ConnState:    f.clients.state, ConnContext: withClient,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// mostBody bounds a request's body. No more than the memory for bodies is kept of it.
const mostBody = 64 << 20

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
	full := f.clients.full()
	if r.URL.Path == "/up" {
		f.close(w)
		if !f.life.Up(f.tellUp) {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
		return
	}
	q, m, err := f.parse(r)
	if err == nil && full { // nothing was sent for it, so that the promise of a refusal holds
		f.refuseUnread(w)
		return
	}
	if err == nil && r.ContentLength != 0 {
		m.body, full, err = f.keep(w, r)
		if full {
			f.refuseUnread(w)
			return
		}
	}
	if err != nil {
		f.turnDown(w, err)
		return
	}
	if m.body != nil {
		defer m.body.release()
	}
	// A request's time counts from its last byte.
	came := f.loop.Clock().Now()
	q.Deadline = came + m.left
	if q.Coming = m.coming(); q.Coming {
		// What is left of the body follows on the connection, unless all of it is read.
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).EnableFullDuplex() // HTTP/1 can
	} else {
		// The request is whole; the time limit on reading it must not end the wait.
		// A connection that can't take this back is broken and shows as such.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}

	answers := make(chan core.Answer, 1)
	m.passed = passing.New()
	defer m.passed.Close()
	q.Message, q.Answers = m, answers
	taken, ok := f.loop.Submit(q)
	if !ok {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	select {
	case in := <-m.passed.Answers():
		f.relay(w, r, in)
	case a := <-answers:
		if a.Kind == core.Duplicate {
			f.turnDown(w, &clientError{http.StatusConflict, "X-Correlation-Id: in use"})
			return
		}
		f.close(w)
		write(w, r, a)
		if q.Coming {
			m.body.discard(w)
		}
	case <-r.Context().Done(): // the client went away
		f.loop.Leave(taken)
		panic(http.ErrAbortHandler) // net/http would answer 200 for us, and half of it may listen still
	case <-f.loop.Stopped():
		http.Error(w, "shutting down", http.StatusBadGateway)
	}
}

// refuseUnread turns a request away for want of room, before any of it has gone on.
func (f *front) refuseUnread(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	refuse(w, f.site.Settings.Limits.MaxRetryAfter)
}

// relay passes an answer on while it comes. One that breaks ends the client's connection, so
// that it can't be taken for whole.
func (f *front) relay(w http.ResponseWriter, r *http.Request, in *passing.Answer) {
	status := policy.Cancelled
	defer func() { in.End(status) }() // also if the connection panics
	f.close(w)
	head(w, in.Header.Get("Content-Type"), in.Length)
	w.WriteHeader(http.StatusOK)
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	switch err := in.Copy(r.Context(), w, clientStall, *buf); {
	case errors.Is(err, passing.ErrGone):
		panic(http.ErrAbortHandler)
	case err != nil:
		status = policy.Reset
		panic(http.ErrAbortHandler)
	}
	status = policy.OK
}

// close ends the connection behind the answer while the node drains or few
// descriptors are left: nothing can cross such a close. It is asked when the answer
// is there, as much may have changed since the request came.
func (f *front) close(w http.ResponseWriter) {
	if f.draining.Load() || f.giving.Load() || f.clients.crowded() || f.life.Closes(time.Now()) {
		w.Header().Set("Connection", "close")
	}
}

// turnDown answers what can't be used, and ends the connection: what follows on it
// can't be trusted. While descriptors are few it does so at once, where net/http
// would linger for half a second so that a client still sending sees the answer.
func (f *front) turnDown(w http.ResponseWriter, err error) {
	code := http.StatusBadRequest
	if bad := (*clientError)(nil); errors.As(err, &bad) {
		code = bad.code
	}
	text := err.Error() + "\n"
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text))) // else the flush cuts off a last chunk
	w.WriteHeader(code)
	_, _ = io.WriteString(w, text)
	if f.clients.crowded() {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// parse looks at all but the body. What it can't make sense of is an error at once.
func (f *front) parse(r *http.Request) (q core.Request, m *message, err error) {
	from := clientOf(r.Context())
	if from != nil && from.framing.doubtful.Load() {
		// net/http has dropped a Content-Length beside a Transfer-Encoding by now. Two lengths
		// may hide a second request in the first one's body, so none of these passes.
		return q, nil, badRequest("Content-Length beside Transfer-Encoding, or a Transfer-Encoding in HTTP/1.0 (RFC 9112, section 6.1)")
	}
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
	if strings.Contains(rest, ".") { // escaped or not: the path is decoded
		for segment := range strings.SplitSeq(rest, "/") {
			if classify.Dots(segment) {
				// A server that resolves it would take the request for one of another class.
				return q, nil, badRequest("path %.60q: a segment %.20q, which leads out of its class", r.URL.Path, segment)
			}
		}
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
	case rules.Effect == policy.Safe && method != http.MethodGet && method != http.MethodHead,
		rules.Effect != policy.Safe && method != http.MethodPost:
		return q, nil, &clientError{http.StatusMethodNotAllowed, "method does not fit class " + class}
	case (rules.Effect == policy.Keyed) != (idempotency != ""):
		return q, nil, badRequest("Idempotency-Key does not fit class %q", class)
	case rules.Effect == policy.Safe && r.ContentLength != 0:
		return q, nil, badRequest("a %s has no body here", method)
	}
	if r.ContentLength > mostBody {
		return q, nil, &clientError{http.StatusRequestEntityTooLarge, "body over 64 MiB"}
	}
	q.Name = id
	m = &message{
		left:   min(left, rules.Deadline),
		method: r.Method, uri: r.RequestURI, host: r.Host,
		header: make(http.Header, len(forwarded)), upstream: f.upstream, lengths: !r.ProtoAtLeast(1, 1), from: from,
	}
	for _, name := range forwarded {
		if values := r.Header[name]; len(values) > 0 {
			m.header[name] = values
		}
	}
	return q, m, nil
}

// number reads a time given as a decimal number of units; one of over an hour is
// no time that a client waits.
func number(name, text string, unit time.Duration) (time.Duration, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= float64(time.Hour/unit)) {
		return 0, badRequest("%s: not a time: %q", name, text)
	}
	return time.Duration(v * float64(unit)), nil
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
func write(w http.ResponseWriter, r *http.Request, a core.Answer) {
	switch a.Kind {
	case core.Served:
		p := a.Body.(reply)
		length := int64(len(p.body))
		if r.Method == http.MethodHead {
			length = p.length
		}
		head(w, p.contentType, length)
		_, _ = w.Write(p.body)
	case core.Refused:
		refuse(w, a.RetryAfter)
	case core.Failed:
		http.Error(w, "failed", http.StatusBadGateway)
	case core.Overdue:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	}
}

// head sets what is told of a served answer; a length below 0 is not known.
func head(w http.ResponseWriter, contentType string, length int64) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	} else {
		w.Header()["Content-Type"] = nil // don't guess it from the body
	}
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

func refuse(w http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(w, "refused, try again", http.StatusServiceUnavailable)
}
