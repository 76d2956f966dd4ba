// Package web is the HTTP front: it proxies HTTP/1.1 and HTTP/2 clients to the servers of a
// pool, under the four rules. Each front has a core loop of its own, which assigns the
// requests, as exchanges, to servers; answers are streamed to the clients.
package web

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"otterstep/internal/bodyrate"
	"otterstep/internal/conns"
	"otterstep/internal/copybuffer"
	"otterstep/internal/core"
	"otterstep/internal/framing"
	"otterstep/internal/h1"
	"otterstep/internal/requestlog"
	"otterstep/internal/serverlist"
	"otterstep/internal/streaming"
	"otterstep/internal/web/classify"
	"otterstep/internal/web/fields"
	"otterstep/policy"
)

// Front is an HTTP proxy with one listener and one pool. Create it with New, then call Run.
type Front struct {
	opt           Config
	log           *slog.Logger
	failures      *requestlog.Log
	loop          *core.Loop
	pool          *conns.Pool
	h2            *http2Pool // nil unless servers speak HTTP/2
	classify      *classify.Classifier
	trusted       []netip.Prefix
	listener      net.Listener
	server        *http.Server
	memory        Memory
	resting       restingConns
	bufferedBytes atomic.Int64
	lastID        atomic.Uint64 // of the latest request
	draining      atomic.Bool
	streamCtx     context.Context // done when streams and tunnels must end
	endStreams    context.CancelFunc
	requestCtx    context.Context // done when all requests must end
	endRequests   context.CancelFunc

	handlers sync.RWMutex // read-locked by each running handler; net/http does not track hijacked tunnels

	ruleHits    []atomic.Int64 // per rule; the last is for no rule
	requests    atomic.Int64   // not answered to the end, with streams and tunnels
	streams     atomic.Int64   // answers being streamed
	tunnels     atomic.Int64
	truncated   atomic.Int64 // answers that failed after the head was sent
	disconnects atomic.Int64 // clients that disconnected before the end of their answer
	rejected    atomic.Int64 // requests rejected before they reached the core
}

// New opens the listener and creates the pool; Run serves. The configuration must have passed
// CheckAll.
func New(c Config, memory Memory, seed uint64, clock core.Clock, log *slog.Logger) (_ *Front, err error) {
	f := &Front{opt: c, memory: memory, resting: restingConns{since: map[net.Conn]time.Time{}}, log: log.With("web", c.Name), ruleHits: make([]atomic.Int64, len(c.Rule)+1)}
	f.failures = requestlog.New(f.log)
	if f.classify, err = c.newClassifier(); err != nil {
		return nil, err
	}
	if f.trusted, err = c.trustedPrefixes(); err != nil {
		return nil, err
	}
	tlsConfig, err := c.upstreamTLS()
	if err != nil {
		return nil, err
	}
	// Upgrades always use HTTP/1.1 to the servers, so this configuration offers no h2.
	http1TLS := tlsConfig.Clone()
	if http1TLS != nil {
		http1TLS.NextProtos = nil
	}
	f.pool = conns.New(conns.Options{
		MaxIdle: c.Upstream.Idle.Duration * 3 / 4, ConnectTimeout: c.Upstream.Connect.Duration, SettleTime: conns.DefaultSettleTime,
		MaxConns: c.Upstream.Connections, TLS: http1TLS,
	})
	drop := f.pool.Drop
	if c.Upstream.HTTP2 {
		f.h2 = newHTTP2Pool(c, tlsConfig)
		drop = f.h2.drop
	}
	if f.loop, err = core.New(core.Options{Settings: c.policySettings(), Seed: seed, Clock: clock, Watch: func() {}, Drop: drop}); err != nil {
		return nil, err
	}
	if f.listener, err = net.Listen("tcp", c.Listen); err != nil {
		return nil, fmt.Errorf("web %s: %w", c.Name, err)
	}
	f.requestCtx, f.endRequests = context.WithCancel(context.Background())
	f.streamCtx, f.endStreams = context.WithCancel(f.requestCtx)
	f.server = newServer(f)
	return f, nil
}

// streamWindow is how much a client can send over HTTP/2 of a body that is not read.
const streamWindow = 64 << 10

// newServer creates the server for clients. It sets no ReadTimeout or WriteTimeout, because a
// time limit on a whole message would end streams; each read and write has its own.
func newServer(f *Front) *http.Server {
	l := f.opt.Limits
	s := &http.Server{
		Handler: f, ReadHeaderTimeout: l.Read.Duration, IdleTimeout: l.Idle.Duration, MaxHeaderBytes: l.Header.Bytes,
		DisableGeneralOptionsHandler: true, // servers answer OPTIONS *
		ConnContext:                  withConn, ConnState: f.connState,
		ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug), Protocols: new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: l.Streams, MaxDecoderHeaderTableSize: 4096, MaxEncoderHeaderTableSize: 4096,
			MaxReadFrameSize: 16 << 10, MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: 1 << 20,
			SendPingTimeout: l.Idle.Duration, PingTimeout: l.Read.Duration, WriteByteTimeout: l.Stall.Duration,
		},
	}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// Addr returns the address of the listener.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// Run serves until ctx ends and then closes everything at once; call Drain before for a
// graceful stop. Run may be called only once.
func (f *Front) Run(ctx context.Context) error {
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	go f.loop.Run(loopCtx)
	f.UpdateServers(policy.ListFull, f.opt.Servers)
	sweepStopped := make(chan struct{})
	go func() {
		defer close(sweepStopped)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				f.pool.Sweep()
			case <-loopCtx.Done():
				return
			}
		}
	}()
	limited := newLimitedListener(f.listener, f.maxConnections(), &f.resting, f.memory)
	serveErr := make(chan error, 1)
	go func() {
		if len(f.opt.Cert) == 0 {
			serveErr <- f.server.Serve(framing.Listener(limited, f.requestLimits()))
			return
		}
		certs, err := loadCerts(&f.opt)
		if err != nil {
			serveErr <- err
			return
		}
		serveErr <- f.server.Serve(newTLSListener(limited, certs.listenerConfig(), f.opt.Limits.Read.Duration, f.requestLimits()))
	}()
	f.log.Info("serving", "listen", f.Addr(), "servers", len(f.opt.Servers))
	var err error
	select {
	case err = <-serveErr:
		if f.draining.Load() && errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done() // streams continue until the drain has ended
			err = nil
		}
	case <-ctx.Done():
	}
	f.endRequests()
	f.server.Close()
	f.handlers.Lock()
	stopLoop()
	<-f.loop.Stopped()
	f.handlers.Unlock() // handlers that waited for the lock find the loop stopped
	<-sweepStopped
	f.pool.Close()
	if f.h2 != nil {
		f.h2.close()
	}
	return err
}

// UpdateServers passes the pool's list of servers, or changes to it, to the loop.
func (f *Front) UpdateServers(kind policy.ListKind, servers []serverlist.Server) {
	entries, addrs := serverlist.Entries(servers)
	f.loop.UpdateServers(kind, entries, addrs)
}

// clientAddr returns the client's address.
func clientAddr(r *http.Request) netip.Addr {
	addr, _ := netip.ParseAddrPort(r.RemoteAddr) // on error the address is invalid, which no trusted prefix contains
	return addr.Addr().Unmap()
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.handlers.RLock()
	defer f.handlers.RUnlock()
	f.requests.Add(1)
	defer f.requests.Add(-1)
	if conn := framingOf(r); conn != nil && conn.TLS != nil {
		r.TLS = conn.TLS // net/http sees no TLS below a framing.Conn
	}
	id := f.ensureRequestID(r)
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	release, p := f.admit(r)
	var q request
	if p == nil {
		defer release()
		q, p = f.classifyRequest(r)
	}
	if p == nil {
		var ended func()
		if q.exchange, ended, p = f.newExchange(w, r, q.Class); p == nil {
			defer ended()
		}
	}
	if p != nil {
		f.rejected.Add(1)
		paceOwnAnswer(r)
		f.writeProblem(w, p, id)
		if conn := framingOf(r); conn != nil && conn.Requests.Rejected(r) != nil {
			framing.AwaitRest(w, r)
		}
		return
	}
	answers := make(chan core.Answer, 1)
	submitted := f.loop.Clock().Now()
	ticket, ok := f.loop.Submit(core.Request{
		Request: policy.Request{Class: q.Class*effectCount + int(q.Effect), Tenant: q.Tenant, Key: q.Key, Uploading: q.exchange.rest != nil},
		Name:    strconv.FormatUint(f.lastID.Add(1), 36),
		// A request's time counts from its last byte. While that is still to come, this is the time to find a server.
		Deadline: submitted + q.exchange.deadline, Message: q.exchange, Answers: answers,
	})
	if !ok {
		f.writeProblem(w, shuttingDown, id)
		return
	}
	for {
		select {
		case h := <-q.exchange.earlyHints:
			if r.ProtoAtLeast(1, 1) { // RFC 9110, section 15.2
				writeEarlyHints(w, h)
			}
		case answer := <-q.exchange.handoff.Answers():
			f.relay(w, r, q.exchange, answer)
			q.exchange.discardRest(w, r)
			return
		case a := <-answers:
			if q.exchange.rest != nil { // the unread rest of the body follows on the connection
				w.Header().Set("Connection", "close")
			}
			f.writeFinal(w, q, a, id, submitted)
			q.exchange.discardRest(w, r)
			return
		case <-q.exchange.ctx.Done():
			f.abortDisconnected(w, q.exchange, ticket)
			return
		case <-f.loop.Stopped():
			f.writeProblem(w, shuttingDown, id)
			return
		}
	}
}

// writeFinal writes the answer to a request, submitted then, for which no server's answer was streamed.
func (f *Front) writeFinal(w http.ResponseWriter, q request, a core.Answer, id string, submitted time.Duration) {
	fallback, bodyErr := q.exchange.getFallback(), q.exchange.bodyError()
	switch {
	case bodyErr != nil:
		f.rejected.Add(1)
		f.writeProblem(w, incompleteBody(bodyErr), id)
	case fallback != nil:
		f.limitWrite(w)
		fallback.write(w)
	default:
		now := f.loop.Clock().Now()
		f.failures.Failed(f.loop.Clock().Wall(now), id, f.opt.Class[q.Class].Name, now-submitted, a)
		f.writeProblem(w, f.problemFor(a), id)
	}
}

// writeProblem writes an error response of the node's own.
func (f *Front) writeProblem(w http.ResponseWriter, p *problem, id string) {
	f.limitWrite(w)
	p.write(w, id)
}

// limitWrite limits the time that the client may take to read an answer that is ready. net/http lifts the limit
// behind the request.
func (f *Front) limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.opt.Limits.Stall.Duration)) // a broken connection fails in the write
}

// abortDisconnected ends an exchange whose client has disconnected, or that the drain ended.
func (f *Front) abortDisconnected(w http.ResponseWriter, x *exchange, ticket *core.Ticket) {
	f.disconnects.Add(1)
	f.loop.ClientGone(ticket)
	x.handoff.Close()
	w.Header().Set("Connection", "close")
	panic(http.ErrAbortHandler)
}

// ensureRequestID returns the X-Request-Id of a request, and sets a new one if it is missing
// or too long.
func (f *Front) ensureRequestID(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > 128 {
		id = newRequestID()
		r.Header.Set("X-Request-Id", id)
	}
	return id
}

// request is a classified client request.
type request struct {
	classify.Result
	exchange *exchange
}

// classifyRequest validates and classifies the head of a request; p is nil if it is valid.
func (f *Front) classifyRequest(r *http.Request) (q request, p *problem) {
	switch conn := framingOf(r); {
	case conn != nil && conn.Requests.Ambiguous():
		return q, &problem{Status: http.StatusBadRequest, Title: "bad request", Detail: framing.ErrAmbiguous.Error(), closeConn: true}
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return q, &problem{Status: http.StatusMethodNotAllowed, Title: "method not carried", Detail: r.Method + " is not carried here"}
	case strings.ContainsFunc(r.RequestURI, func(c rune) bool { return c <= ' ' || c >= 0x7f || c == '#' }):
		// HTTP/2 permits such targets, but in HTTP/1.1 a space would end the target.
		return q, &problem{Status: http.StatusBadRequest, Title: "bad request", Detail: "a target with a blank, a control character, a fragment or bytes beyond ASCII (RFC 9110, section 7.1)"}
	case fields.ViaContains(r.Header, f.viaName()):
		return q, &problem{Status: http.StatusLoopDetected, Title: "loop", Detail: "the request has passed here before"}
	case len(r.Header["Idempotency-Key"]) > 1:
		return q, &problem{Status: http.StatusBadRequest, Title: "bad request", Detail: "Idempotency-Key: given twice"}
	}
	name := ""
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		name = r.TLS.PeerCertificates[0].Subject.CommonName
	}
	path := r.URL.EscapedPath()
	if path == "" {
		path = "/"
	}
	var err error
	if q.Result, err = f.classify.Classify(classify.Request{
		Method: r.Method, Host: r.Host, Path: path, Header: r.Header, Source: clientAddr(r), CertName: name,
	}); err != nil {
		return q, &problem{Status: http.StatusBadRequest, Title: "bad request", Detail: err.Error()}
	}
	if q.Rule >= 0 {
		f.ruleHits[q.Rule].Add(1)
	} else {
		f.ruleHits[len(f.ruleHits)-1].Add(1)
	}
	return q, nil
}

// viaName returns the name of this node in Via.
func (f *Front) viaName() string { return "otterstep-" + f.opt.Name }

// newExchange prepares the request for the servers and buffers the first part of its body.
// The caller must call ended after the answer.
func (f *Front) newExchange(w http.ResponseWriter, r *http.Request, class int) (_ *exchange, ended func(), p *problem) {
	if text := r.Header.Get("Max-Forwards"); r.Method == http.MethodOptions && text != "" {
		n, err := strconv.ParseUint(text, 10, 31)
		switch {
		case err != nil:
			return nil, nil, &problem{Status: http.StatusBadRequest, Title: "bad request", Detail: "Max-Forwards is no number"}
		case n == 0: // this node is the final recipient (RFC 9110, section 7.6.2)
			return nil, nil, &problem{Status: http.StatusNoContent}
		}
		r.Header.Set("Max-Forwards", strconv.FormatUint(n-1, 10))
	}
	x := &exchange{ // never reassigned: the callbacks below read it on other goroutines
		front: f, method: r.Method, uri: originForm(r), host: r.Host, length: r.ContentLength,
		earlyHints: make(chan h1.Head, h1.MaxInterim), handoff: streaming.New(), deadline: f.opt.Class[class].Deadline.Duration, http1: r.ProtoMajor == 1,
		trailer: func() http.Header { return r.Trailer },
	}
	x.upgrade = fields.UpgradeProtocol(r.Header)
	if x.upgrade != "" && (r.ProtoMajor != 1 || f.draining.Load() || f.tunnels.Load() >= int64(f.opt.Limits.Tunnels)) {
		x.upgrade = "" // Upgrade may be ignored (RFC 9110, section 7.8)
	}
	control := http.NewResponseController(w)
	x.body = bodyrate.NewReader(r.Body, control, bodyrate.Limits{
		BytesPerSecond: f.opt.Limits.BodyRate.Bytes, Grace: x.deadline, Pause: f.opt.Limits.Read.Duration,
	})
	x.ahead = streamWindow
	if conn := framingOf(r); conn != nil {
		x.received, x.ahead = conn.Received, bodyrate.SenderBuffer
	}
	x.stopBody = func() {
		x.bodyStopped.Store(true)
		x.body.Stop()
	}
	x.header = r.Header.Clone()
	trailers := fields.AcceptsTrailers(x.header)
	fields.RemoveHopByHop(x.header)
	if trailers {
		x.header.Set("Te", "trailers")
	}
	for _, name := range []string{"Content-Length", "Trailer", "Expect", "Host"} {
		x.header.Del(name)
	}
	fields.AddVia(x.header, r.ProtoMajor, r.ProtoMinor, f.viaName())
	from := clientAddr(r)
	fields.AddForwarded(x.header, fields.Origin{
		Source: from, Host: r.Host, TLS: r.TLS != nil,
		Trusted: slices.ContainsFunc(f.trusted, func(t netip.Prefix) bool { return t.Contains(from) }),
	})
	if len(r.Trailer) > 0 {
		var names []string
		for name := range r.Trailer {
			names = append(names, name)
		}
		slices.Sort(names)
		x.header.Set("Trailer", strings.Join(names, ", "))
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	x.ctx, x.cancel, x.clientCtx = ctx, cancel, r.Context()
	unhookDrain := x.endWithDrain()
	unhookClient := context.AfterFunc(r.Context(), x.clientDisconnected)
	reserved := int64(0)
	ended = func() {
		x.handoff.Close()
		cancel()
		unhookDrain()
		unhookClient()
		x.restClaim.Close()
		x.body.Detach()
		f.bufferedBytes.Add(-reserved)
		f.memory.Bodies.Release(reserved)
		x.releaseUpload()
	}
	if x.expectsContinue = strings.EqualFold(r.Header.Get("Expect"), "100-continue"); x.expectsContinue || r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		if x.expectsContinue && r.ContentLength != 0 && !x.streamRest(control) {
			ended()
			return nil, nil, f.headProblem(framing.ErrNoMemory)
		}
		return x, ended, nil
	}
	maxBuffered := int64(f.opt.Limits.Kept.Bytes)
	if r.ContentLength >= 0 {
		maxBuffered = min(maxBuffered, r.ContentLength)
	}
	if f.reserveBody(maxBuffered) {
		reserved = maxBuffered
	} else { // the body is streamed and can be sent only once
		maxBuffered = 0
	}
	text, err := io.ReadAll(io.LimitReader(x.body, maxBuffered+1))
	if err != nil {
		ended()
		return nil, nil, incompleteBody(err)
	}
	x.buffered = text
	switch {
	case int64(len(text)) > maxBuffered || r.ContentLength > int64(len(text)):
		if !x.streamRest(control) {
			ended()
			return nil, nil, f.headProblem(framing.ErrNoMemory)
		}
	default:
		x.length = int64(len(text))
		x.header.Del("Trailer")
	}
	return x, ended, nil
}

// reserveBody reserves memory for a body that is kept for further attempts.
func (f *Front) reserveBody(n int64) bool {
	if f.bufferedBytes.Add(n) > int64(f.opt.Limits.KeptAll.Bytes) || !f.memory.Bodies.Reserve(n) {
		f.bufferedBytes.Add(-n)
		return false
	}
	return true
}

// originForm returns the target in origin form, or "*", without re-encoding a target that
// was sent in origin form (RFC 9112, section 3.2).
func originForm(r *http.Request) string {
	if r.Method == http.MethodOptions && r.RequestURI == "*" {
		return "*"
	}
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // absolute form
}

// copyBuffered copies with a pooled buffer.
func (f *Front) copyBuffered(to io.Writer, from io.Reader) (int64, error) {
	b := copybuffer.Get(f.memory.Buffers)
	defer b.Release()
	return io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, b.Bytes)
}

// problemFor returns the error response for a request that got no answer from a server.
func (f *Front) problemFor(a core.Answer) *problem {
	switch a.Outcome {
	case core.Refused:
		return &problem{
			Status: http.StatusServiceUnavailable, Title: "refused", Type: "refused", retryAfter: a.RetryAfter,
			Detail: "no server can take the request now; it has not run, or may run again without harm",
		}
	case core.DeadlineExceeded:
		return &problem{Status: http.StatusGatewayTimeout, Title: "no answer in time", Type: "overdue", Detail: "the request may have run"}
	}
	return &problem{Status: http.StatusBadGateway, Title: "failed", Type: "failed", Detail: "no server answered as it should; the request may have run"}
}

// write sends a buffered answer to the client.
func (a *bufferedAnswer) write(w http.ResponseWriter) {
	copyHeader(w, a.Head)
	if a.Code != http.StatusNoContent && a.Code != http.StatusNotModified && len(a.body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.Code)
	_, _ = io.Copy(w, bytes.NewReader(a.body)) // an error means that the client has disconnected
}

// copyHeader copies an answer's header to the client's, without hop-by-hop fields.
func copyHeader(w http.ResponseWriter, h h1.Head) {
	own := w.Header()
	header := h.Header.Clone()
	fields.RemoveHopByHop(header)
	header.Del("Trailer")
	for name, values := range header {
		own[name] = values
	}
	if header.Get("Content-Type") == "" {
		own["Content-Type"] = nil // disables content sniffing by net/http
	}
}

// writeEarlyHints forwards a 103 response.
func writeEarlyHints(w http.ResponseWriter, h h1.Head) {
	own := w.Header()
	header := h.Header.Clone()
	fields.RemoveHopByHop(header)
	for name, values := range header {
		own[name] = values
	}
	w.WriteHeader(h.Code)
	for name := range header {
		delete(own, name)
	}
}
