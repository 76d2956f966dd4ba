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

	"otterstep/internal/copybuffer"
	"otterstep/internal/core"
	"otterstep/internal/framing"
	"otterstep/internal/lifecycle"
	"otterstep/internal/requestlog"
	"otterstep/internal/streaming"
	"otterstep/internal/web/classify"
	"otterstep/internal/wire"
	"otterstep/policy"
)

// front serves clients: it converts HTTP requests into events of the core loop, and the loop's
// answers into HTTP responses.
type front struct {
	loop         *core.Loop
	upstream     *upstream
	site         wire.Site
	clients      *clients
	life         *lifecycle.Lifecycle
	failUpAtOnce bool // /up fails as soon as termination begins
	classes      map[string]int
	tenants      map[string]int
	draining     atomic.Bool // the node drains: answers close their connections
	handingOver  atomic.Bool // the same while another process takes over
	memory       *clientMemory
	failures     *requestlog.Log // nil: failed requests are not logged
}

func newFront(l *core.Loop, up *upstream, site wire.Site, g *clients, memory *clientMemory, state *lifecycle.Lifecycle, tellUp bool) *front {
	f := &front{
		loop: l, upstream: up, site: site, clients: g, memory: memory, life: state, failUpAtOnce: tellUp,
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

// server returns the HTTP server for clients' connections.
func (f *front) server(log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		// No WriteTimeout: its clock would run while a body arrives. clientListener limits writes.
		ConnState: f.clients.connState, ConnContext: withClient,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// maxRequestBody is the maximum size of a request body. The body memory limits how much of it is buffered.
const maxRequestBody = 64 << 20

// clientError is an invalid request, with the status code and text of the response.
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
	c := clientOf(r.Context())
	if c != nil {
		if reason := c.requests.Rejected(r); reason != nil {
			f.rejectHead(w, r, reason)
			return
		}
	}
	if r.URL.Path == "/up" {
		if c != nil {
			c.answers.Wait(r.Context())
		}
		f.announceClose(w)
		if !f.life.AcceptsConnections(f.failUpAtOnce) {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
		return
	}
	q, m, err := f.parse(r)
	if err == nil && full { // nothing was forwarded yet, so a refusal may state that the request did not run
		f.refuseUnread(w)
		return
	}
	if err == nil && r.ContentLength != 0 {
		m.body, full, err = f.readBody(w, r)
		if full {
			f.refuseUnread(w)
			return
		}
	}
	if err != nil {
		f.rejectRequest(w, err)
		return
	}
	if m.body != nil {
		defer m.body.release()
	}
	// The time that a client waits counts from the request's last byte.
	arrived := f.loop.Clock().Now()
	q.Deadline = arrived + m.timeLeft
	if q.Uploading = m.bodyPending(); q.Uploading {
		// The unread rest of the body would precede the next request on the connection.
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).EnableFullDuplex() // always supported in HTTP/1
	} else {
		// The request is complete, so its read deadline must not end the wait for the answer.
		// On an error the connection is broken, which shows in its further use.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}

	answers := make(chan core.Answer, 1)
	m.handoff = streaming.New()
	defer m.handoff.Close()
	q.Message, q.Answers = m, answers
	taken, ok := f.loop.Submit(q)
	if !ok {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	select {
	case in := <-m.handoff.Answers():
		f.relay(w, r, in)
	case a := <-answers:
		if a.Outcome == core.Duplicate {
			f.rejectRequest(w, &clientError{http.StatusConflict, "X-Correlation-Id: in use"})
			return
		}
		if q.Uploading && a.Outcome != core.Served && m.body.cameTooSlowly() {
			f.rejectRequest(w, errIncompleteBody)
			return
		}
		now := f.loop.Clock().Now()
		f.failures.Failed(f.loop.Clock().Wall(now), q.Name, f.site.Classes[q.Class], now-arrived, a)
		f.announceClose(w)
		writeAnswer(w, r, a)
		if q.Uploading {
			m.body.discard(w)
		}
	case <-r.Context().Done(): // the client disconnected, or net/http took a read that timed out for that
		f.loop.ClientGone(taken)
		if q.Uploading && m.body.cameTooSlowly() {
			f.rejectRequest(w, errIncompleteBody)
			return
		}
		panic(http.ErrAbortHandler) // returning would send a 200, and a client that only half-closed could still receive it
	case <-f.loop.Stopped():
		http.Error(w, "shutting down", http.StatusBadGateway)
	}
}

// rejectHead answers a request whose head was rejected before it was read as a whole.
func (f *front) rejectHead(w http.ResponseWriter, r *http.Request, reason error) {
	if errors.Is(reason, framing.ErrNoMemory) {
		f.refuseUnread(w)
	} else {
		f.rejectRequest(w, &clientError{framing.StatusCode(reason), reason.Error()})
	}
	if !f.clients.nearLimit() {
		framing.AwaitRest(w, r)
	}
}

// refuseUnread refuses a request for lack of resources, before any of it was forwarded.
func (f *front) refuseUnread(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	writeRefusal(w, f.site.Settings.Limits.MaxRetryAfter)
}

// relay streams an answer to the client. If the answer is truncated it aborts the client's
// connection, so that the client does not take the answer for complete.
func (f *front) relay(w http.ResponseWriter, r *http.Request, in *streaming.Answer) {
	status := policy.Cancelled
	defer func() { in.Finish(status) }() // also after a panic
	f.announceClose(w)
	setAnswerHeaders(w, in.Header.Get("Content-Type"), in.Length)
	w.WriteHeader(http.StatusOK)
	buf := copybuffer.Get(f.memory.buffers)
	defer buf.Release()
	switch err := in.Copy(r.Context(), w, 0, buf.Bytes); {
	case errors.Is(err, streaming.ErrClientGone):
		panic(http.ErrAbortHandler)
	case err != nil:
		status = policy.Reset
		panic(http.ErrAbortHandler)
	}
	status = policy.OK
}

// announceClose makes the answer close the connection while the node drains or few descriptors are
// left. Such a close is announced, so no request can race with it. It is called when the answer
// is ready, because the node's state may have changed since the request arrived.
func (f *front) announceClose(w http.ResponseWriter) {
	if f.draining.Load() || f.handingOver.Load() || f.clients.nearLimit() || f.life.ClosesAfterAnswer(time.Now()) {
		w.Header().Set("Connection", "close")
	}
}

// rejectRequest answers an invalid request and closes the connection, since further data on it
// cannot be trusted. While few descriptors are left it closes immediately, whereas net/http
// would wait for half a second so that a client that is still sending receives the answer.
func (f *front) rejectRequest(w http.ResponseWriter, err error) {
	code := http.StatusBadRequest
	if bad := (*clientError)(nil); errors.As(err, &bad) {
		code = bad.code
	}
	text := err.Error() + "\n"
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text))) // otherwise the answer is chunked, and the last chunk is missing after Flush and the abort
	w.WriteHeader(code)
	_, _ = io.WriteString(w, text)
	if f.clients.nearLimit() {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// parse validates and converts everything but the body.
func (f *front) parse(r *http.Request) (q core.Request, m *message, err error) {
	from := clientOf(r.Context())
	if from != nil && from.requests.Ambiguous() {
		return q, nil, badRequest("%v", framing.ErrAmbiguous)
	}
	single := func(name string) string {
		if values := r.Header[name]; len(values) > 1 && err == nil {
			err = badRequest("%s: given twice", name)
		}
		return r.Header.Get(name)
	}
	id, class, tenant := single("X-Correlation-Id"), single("X-Service-Class"), single("X-Account")
	timeLeft, hint, idempotency := single("X-Time-Left"), single("X-Weight-Hint"), single("Idempotency-Key")
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
	if strings.Contains(rest, ".") { // covers escaped dots too: the path is decoded
		for segment := range strings.SplitSeq(rest, "/") {
			if classify.IsDotSegment(segment) {
				// A server that resolves dot segments would assign the request to another class.
				return q, nil, badRequest("path %.60q: a segment %.20q, which leads out of its class", r.URL.Path, segment)
			}
		}
	}
	q.Key = key(rest)
	left, err := parseDuration("X-Time-Left", timeLeft, time.Second)
	if err != nil {
		return q, nil, err
	}
	if hint != "" {
		if q.Hint, err = parseDuration("X-Weight-Hint", hint, time.Microsecond); err != nil {
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
	if r.ContentLength > maxRequestBody {
		return q, nil, &clientError{http.StatusRequestEntityTooLarge, "body over 64 MiB"}
	}
	q.Name = id
	m = &message{
		timeLeft: min(left, rules.Deadline),
		method:   r.Method, uri: r.RequestURI, host: r.Host,
		header: make(http.Header, len(forwardedHeaders)), upstream: f.upstream, needsLength: !r.ProtoAtLeast(1, 1), client: from,
	}
	for _, name := range forwardedHeaders {
		if values := r.Header[name]; len(values) > 0 {
			m.header[name] = values
		}
	}
	return q, m, nil
}

// parseDuration parses a decimal number of units. More than an hour is rejected, since no
// client waits that long.
func parseDuration(name, text string, unit time.Duration) (time.Duration, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= float64(time.Hour/unit)) {
		return 0, badRequest("%s: not a time: %q", name, text)
	}
	return time.Duration(v * float64(unit)), nil
}

// key returns a hash of the last path segment after the class; 0 if there is none.
func key(rest string) uint64 {
	last := rest[strings.LastIndexByte(rest, '/')+1:]
	if last == "" {
		return 0
	}
	h := fnv.New64a()
	io.WriteString(h, last)
	return max(h.Sum64(), 1)
}

// writeAnswer writes an answer to the client. Write errors are ignored: they mean that the client
// disconnected.
func writeAnswer(w http.ResponseWriter, r *http.Request, a core.Answer) {
	switch a.Outcome {
	case core.Served:
		p := a.Body.(reply)
		length := int64(len(p.body))
		if r.Method == http.MethodHead {
			length = p.length
		}
		setAnswerHeaders(w, p.contentType, length)
		_, _ = w.Write(p.body)
	case core.Refused:
		writeRefusal(w, a.RetryAfter)
	case core.Failed:
		http.Error(w, "failed", http.StatusBadGateway)
	case core.DeadlineExceeded:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	}
}

// setAnswerHeaders sets the headers of a served answer; a negative length means unknown.
func setAnswerHeaders(w http.ResponseWriter, contentType string, length int64) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	} else {
		w.Header()["Content-Type"] = nil // keeps net/http from sniffing it
	}
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

func writeRefusal(w http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(w, "refused, try again", http.StatusServiceUnavailable)
}
