// Package web is the front for ordinary HTTP: any web service behind the decision module,
// under the four rules. Requests become exchanges of a pool of their own in the core;
// answers go to clients while they come.
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

	"golang.org/x/net/netutil"

	"otterstep/internal/conns"
	"otterstep/internal/core"
	"otterstep/internal/h1"
	"otterstep/internal/listed"
	"otterstep/internal/passing"
	"otterstep/internal/web/classify"
	"otterstep/internal/web/fields"
	"otterstep/policy"
)

// Front carries ordinary HTTP. Make it with New, then Run it.
type Front struct {
	opt      Config
	log      *slog.Logger
	loop     *core.Loop
	pool     *conns.Pool
	h2       *multiplexed // where servers speak HTTP/2
	classify *classify.Classifier
	trusted  []netip.Prefix
	listener net.Listener
	server   *http.Server
	buffers  sync.Pool // of what is copied
	kept     atomic.Int64
	names    atomic.Uint64 // the last exchange's
	draining atomic.Bool
	ending   context.Context // ends streams and tunnels
	end      context.CancelFunc

	handlers sync.RWMutex // held for reading by each that runs, tunnels too, which net/http forgets

	hits    []atomic.Int64 // of each rule, and of none
	streams atomic.Int64   // answers on their way
	tunnels atomic.Int64
	cut     atomic.Int64 // answers that broke after they had begun
	gone    atomic.Int64 // clients that left before their answer's end
	turned  atomic.Int64 // requests that were turned down unread
}

// New opens the listener and makes the pool; Run carries traffic. The configuration has
// been checked.
func New(c Config, seed uint64, clock core.Clock, log *slog.Logger) (_ *Front, err error) {
	f := &Front{opt: c, log: log.With("web", c.Name), hits: make([]atomic.Int64, len(c.Rule)+1)}
	f.buffers.New = func() any { b := make([]byte, 32<<10); return &b }
	if f.classify, err = c.classifier(); err != nil {
		return nil, err
	}
	if f.trusted, err = c.trusted(); err != nil {
		return nil, err
	}
	secure, err := c.clientTLS()
	if err != nil {
		return nil, err
	}
	// Upgrades take HTTP/1.1 to the servers, whatever the rest does.
	plain := secure.Clone()
	if plain != nil {
		plain.NextProtos = nil
	}
	f.pool = conns.New(conns.Options{
		IdleFor: c.Upstream.Idle.Duration * 3 / 4, Connect: c.Upstream.Connect.Duration, Settle: 2 * time.Millisecond,
		Most: c.Upstream.Connections, TLS: plain,
	})
	drop := f.pool.Drop
	if c.Upstream.HTTP2 {
		f.h2 = newMultiplexed(c, secure)
		drop = f.h2.drop
	}
	if f.loop, err = core.New(core.Options{Settings: c.settings(), Seed: seed, Clock: clock, Watch: func() {}, Drop: drop}); err != nil {
		return nil, err
	}
	if f.listener, err = net.Listen("tcp", c.Listen); err != nil {
		return nil, fmt.Errorf("web %s: %w", c.Name, err)
	}
	f.ending, f.end = context.WithCancel(context.Background())
	f.server = newServer(f)
	return f, nil
}

// newServer makes the clients' side. net/http reads and frames what clients send; a limit
// of time on the whole of a message would end streams, so each part has one of its own.
func newServer(f *Front) *http.Server {
	l := f.opt.Limits
	s := &http.Server{
		Handler: f, ReadHeaderTimeout: l.Read.Duration, IdleTimeout: l.Idle.Duration, MaxHeaderBytes: l.Header.Bytes,
		DisableGeneralOptionsHandler: true, // OPTIONS * is the servers' to answer
		ErrorLog:                     slog.NewLogLogger(f.log.Handler(), slog.LevelDebug), Protocols: new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: l.Streams, MaxDecoderHeaderTableSize: 4096, MaxEncoderHeaderTableSize: 4096,
			MaxReadFrameSize: 16 << 10, MaxReceiveBufferPerStream: 64 << 10, MaxReceiveBufferPerConnection: 1 << 20,
			SendPingTimeout: l.Idle.Duration, PingTimeout: l.Read.Duration, WriteByteTimeout: l.Stall.Duration,
		},
	}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// Addr is where it listens.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// Run carries traffic until ctx ends, at once then: Drain comes before for those who can
// wait. It runs once.
func (f *Front) Run(ctx context.Context) error {
	looping, stop := context.WithCancel(context.WithoutCancel(ctx))
	go f.loop.Run(looping)
	f.Members(policy.ListFull, f.opt.Servers)
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		every := time.NewTicker(time.Second)
		defer every.Stop()
		for {
			select {
			case <-every.C:
				f.pool.Sweep()
			case <-looping.Done():
				return
			}
		}
	}()
	limited := netutil.LimitListener(f.listener, f.opt.Limits.Connections)
	ended := make(chan error, 1)
	go func() {
		if len(f.opt.Cert) == 0 {
			ended <- f.server.Serve(limited)
			return
		}
		certs, err := loadCerts(&f.opt)
		if err != nil {
			ended <- err
			return
		}
		f.server.TLSConfig = certs.config()
		ended <- f.server.ServeTLS(limited, "", "")
	}()
	f.log.Info("serving", "listen", f.Addr(), "servers", len(f.opt.Servers))
	var err error
	select {
	case err = <-ended:
		if f.draining.Load() && errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done() // streams go on until the drain has ended
			err = nil
		}
	case <-ctx.Done():
	}
	f.end()
	f.server.Close()
	f.handlers.Lock()
	stop()
	<-f.loop.Stopped()
	f.handlers.Unlock() // whoever came meanwhile is told that all is over
	<-swept
	f.pool.Close()
	if f.h2 != nil {
		f.h2.close()
	}
	return err
}

// Members hands over the pool's servers, or changes to them.
func (f *Front) Members(kind policy.ListKind, servers []listed.Server) {
	entries, addrs := listed.Entries(servers)
	f.loop.Members(kind, entries, addrs)
}

// Drain takes no more connections and lets requests end, streams and tunnels for the
// configured time at most; what is left then is ended. It returns when nothing is open.
func (f *Front) Drain(ctx context.Context) {
	f.draining.Store(true)
	limit, cancel := context.WithTimeout(ctx, f.opt.Drain.Duration)
	defer cancel()
	err := f.server.Shutdown(limit) // HTTP/2 connections get their GOAWAY here
	every := time.NewTicker(10 * time.Millisecond)
	defer every.Stop()
	for err == nil && f.tunnels.Load() > 0 {
		select {
		case <-every.C:
		case <-limit.Done():
			err = limit.Err()
		}
	}
	if open := f.streams.Load() + f.tunnels.Load(); err != nil && open > 0 {
		f.log.Warn("streams and tunnels are cut at the drain's end", "open", open)
	}
	f.end()
	f.server.Close()
}

// source gives a client's address.
func source(r *http.Request) netip.Addr {
	at, _ := netip.ParseAddrPort(r.RemoteAddr) // net/http gives one; else an invalid address, which nobody trusts
	return at.Addr().Unmap()
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.handlers.RLock()
	defer f.handlers.RUnlock()
	came := f.loop.Clock().Now()
	id := f.identify(r)
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q, p := f.read(r)
	if p == nil {
		var ended func()
		if q.x, ended, p = f.exchange(w, r, id); p == nil {
			defer ended()
		}
	}
	if p != nil {
		f.turned.Add(1)
		p.write(w, id)
		return
	}
	answers := make(chan core.Answer, 1)
	ticket, ok := f.loop.Submit(core.Request{
		Request:  policy.Request{Class: q.Class*effects + int(q.Effect), Tenant: q.Tenant, Key: q.Key},
		Name:     strconv.FormatUint(f.names.Add(1), 36),
		Deadline: came + f.opt.Class[q.Class].Deadline.Duration, Message: q.x, Answers: answers,
	})
	if !ok {
		stopping.write(w, id)
		return
	}
	for {
		select {
		case h := <-q.x.interim:
			if r.ProtoAtLeast(1, 1) { // RFC 9110, section 15.2
				hint(w, h)
			}
		case in := <-q.x.passed.Answers():
			f.relay(w, r, q.x, in)
			return
		case a := <-answers:
			if q.x.rest != nil { // what is left of the body follows on the connection
				w.Header().Set("Connection", "close")
			}
			if p := f.own(a); q.x.held() != nil {
				q.x.held().write(w)
			} else {
				p.write(w, id)
			}
			return
		case <-q.x.ctx.Done():
			f.leave(w, q.x, ticket)
			return
		case <-f.loop.Stopped():
			stopping.write(w, id)
			return
		}
	}
}

// leave ends an exchange whose client went away, or that the drain has ended.
func (f *Front) leave(w http.ResponseWriter, x *exchange, ticket *core.Ticket) {
	f.gone.Add(1)
	f.loop.Leave(ticket)
	x.passed.Close()
	w.Header().Set("Connection", "close")
	panic(http.ErrAbortHandler)
}

// identify gives a request's id, one of the node's own where the client sends none.
func (f *Front) identify(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > 128 {
		id = newID()
		r.Header.Set("X-Request-Id", id)
	}
	return id
}

// request is what a client asks for.
type request struct {
	classify.Result
	x *exchange
}

// read looks at a request's head and says what is wrong with it, if anything is.
func (f *Front) read(r *http.Request) (q request, p *problem) {
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return q, &problem{Status: http.StatusMethodNotAllowed, Title: "method not carried", Detail: r.Method + " is not carried here"}
	case strings.ContainsFunc(r.RequestURI, func(c rune) bool { return c <= ' ' || c >= 0x7f || c == '#' }):
		// HTTP/2 brings such targets through, and HTTP/1.1 would read a blank as their end.
		return q, &problem{Status: http.StatusBadRequest, Title: "bad request", Detail: "a target with a blank, a control character, a fragment or bytes beyond ASCII (RFC 9110, section 7.1)"}
	case fields.ViaContains(r.Header, f.via()):
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
		Method: r.Method, Host: r.Host, Path: path, Header: r.Header, Source: source(r), CertName: name,
	}); err != nil {
		return q, &problem{Status: http.StatusBadRequest, Title: "bad request", Detail: err.Error()}
	}
	if q.Rule >= 0 {
		f.hits[q.Rule].Add(1)
	} else {
		f.hits[len(f.hits)-1].Add(1)
	}
	return q, nil
}

// via is the node's name in Via.
func (f *Front) via() string { return "otterstep-" + f.opt.Name }

// exchange makes what goes on to servers, and reads the first part of the body. ended is
// to be called behind the answer.
func (f *Front) exchange(w http.ResponseWriter, r *http.Request, id string) (_ *exchange, ended func(), p *problem) {
	if text := r.Header.Get("Max-Forwards"); r.Method == http.MethodOptions && text != "" {
		n, err := strconv.ParseUint(text, 10, 31)
		switch {
		case err != nil:
			return nil, nil, &problem{Status: http.StatusBadRequest, Title: "bad request", Detail: "Max-Forwards is no number"}
		case n == 0: // RFC 9110, section 7.6.2: the answer is ours
			return nil, nil, &problem{Status: http.StatusNoContent}
		}
		r.Header.Set("Max-Forwards", strconv.FormatUint(n-1, 10))
	}
	x := &exchange{ // never another one: what is hooked below reads it on other goroutines
		front: f, method: r.Method, uri: originForm(r), host: r.Host, length: r.ContentLength,
		interim: make(chan h1.Head, h1.InterimMost), passed: passing.New(),
		trailer: func() http.Header { return r.Trailer },
	}
	x.upgrade = fields.UpgradeProtocol(r.Header)
	if x.upgrade != "" && (r.ProtoMajor != 1 || f.draining.Load() || f.tunnels.Load() >= int64(f.opt.Limits.Tunnels)) {
		x.upgrade = "" // a server may ignore the wish, and so may we (RFC 9110, section 7.8)
	}
	control := http.NewResponseController(w)
	x.stop = func() {
		x.stopped.Store(true)
		_ = control.SetReadDeadline(time.Unix(1, 0)) // an error: it has ended
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
	fields.AddVia(x.header, r.ProtoMajor, r.ProtoMinor, f.via())
	from := source(r)
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
	unhook := context.AfterFunc(f.ending, cancel)
	left := context.AfterFunc(r.Context(), func() {
		if !x.stopped.Load() { // net/http takes a read that we ended for the client's leaving
			cancel()
		}
	})
	x.ctx = ctx
	held := int64(0)
	ended = func() {
		x.passed.Close()
		cancel()
		unhook()
		left()
		x.reading.Wait()
		f.kept.Add(-held)
	}
	if x.expects = strings.EqualFold(r.Header.Get("Expect"), "100-continue"); x.expects || r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		if x.expects && r.ContentLength != 0 {
			x.rest = f.clientBody(r, control)
			f.streamed(control)
		}
		return x, ended, nil
	}
	most := int64(f.opt.Limits.Kept.Bytes)
	if r.ContentLength >= 0 {
		most = min(most, r.ContentLength)
	}
	if held = most; f.kept.Add(held) > int64(f.opt.Limits.KeptAll.Bytes) {
		f.kept.Add(-held) // others' bodies fill the room: this one is sent once
		held, most = 0, 0
	}
	in := f.clientBody(r, control)
	text, err := io.ReadAll(io.LimitReader(in, most+1))
	if err != nil {
		ended()
		return nil, nil, &problem{Status: http.StatusRequestTimeout, Title: "body", Detail: "the body did not come whole: " + err.Error(), close: true}
	}
	x.kept = text
	switch {
	case int64(len(text)) > most || r.ContentLength > int64(len(text)):
		x.rest = in
		f.streamed(control)
	default:
		x.length = int64(len(text))
		x.header.Del("Trailer")
	}
	return x, ended, nil
}

// streamed lets a body go on while its answer comes.
func (f *Front) streamed(c *http.ResponseController) { _ = c.EnableFullDuplex() } // HTTP/2 always does

// clientBody reads a client's body, each part within the limit of time.
func (f *Front) clientBody(r *http.Request, c *http.ResponseController) io.Reader {
	return readerFunc(func(p []byte) (int, error) {
		// Not in place of a limit that stop has set: that one has ended the exchange.
		if r.Context().Err() == nil {
			_ = c.SetReadDeadline(time.Now().Add(f.opt.Limits.Read.Duration))
		}
		n, err := r.Body.Read(p)
		if errors.Is(err, io.EOF) {
			_ = c.SetReadDeadline(time.Time{})
		}
		return n, err
	})
}

type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// originForm gives the target as servers get it, as it was written (RFC 9112, section 3.2).
func originForm(r *http.Request) string {
	if r.Method == http.MethodOptions && r.RequestURI == "*" {
		return "*"
	}
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // it came in absolute form
}

// copy copies by a buffer that is shared with others.
func (f *Front) copy(to io.Writer, from io.Reader) (int64, error) {
	b := f.buffers.Get().(*[]byte)
	defer f.buffers.Put(b)
	return io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, *b)
}

// own gives the node's own answer.
func (f *Front) own(a core.Answer) *problem {
	switch a.Kind {
	case core.Refused:
		return &problem{
			Status: http.StatusServiceUnavailable, Title: "refused", Type: "refused", retryAfter: a.RetryAfter,
			Detail: "no server can take the request now; it has not run, or may run again without harm",
		}
	case core.Overdue:
		return &problem{Status: http.StatusGatewayTimeout, Title: "no answer in time", Type: "overdue", Detail: "the request may have run"}
	}
	return &problem{Status: http.StatusBadGateway, Title: "failed", Type: "failed", Detail: "no server answered as it should; the request may have run"}
}

// write passes an answer on that was held back.
func (a *whole) write(w http.ResponseWriter) {
	copyHead(w, a.Head)
	if a.Code != http.StatusNoContent && a.Code != http.StatusNotModified && len(a.body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.Code)
	_, _ = io.Copy(w, bytes.NewReader(a.body)) // an error is the client's leaving
}

// copyHead puts an answer's header into the client's, but for the fields of one hop.
func copyHead(w http.ResponseWriter, h h1.Head) {
	own := w.Header()
	header := h.Header.Clone()
	fields.RemoveHopByHop(header)
	header.Del("Trailer")
	for name, values := range header {
		own[name] = values
	}
	if header.Get("Content-Type") == "" {
		own["Content-Type"] = nil // don't guess it from the body
	}
}

// hint passes a 103 on.
func hint(w http.ResponseWriter, h h1.Head) {
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
