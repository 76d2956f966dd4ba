package agent

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/netutil"
	"otterstep/internal/control"
	"otterstep/internal/fleet/pki"
	"otterstep/internal/fleet/protocol"
)

const (
	connectionsMost = 256 // on each of the agent's listeners; further ones wait in the kernel
	commandsShown   = 200
	readWithin      = 5 * time.Second
	idleFor         = 30 * time.Second
)

// refusals counts who was turned away, by cause.
type refusals struct {
	mu     sync.Mutex
	counts map[string]int64 // the causes are few: those in this package
}

func (r *refusals) add(cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int64{}
	}
	r.counts[cause]++
}

func (r *refusals) all() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}

// localRole is that of this machine's user, who may do what any role may.
const localRole = "local"

// caller is who asks.
type caller struct {
	name string
	role string // of package pki, localRole, or "" for nobody
	// fence is the duty for which it orders, if it owns one.
	fence *protocol.Fence
}

// may tells whether the caller's role allows what a call takes. An agent may look, and order
// only as the owner of a duty; an operator never does so.
func (c caller) may(takes string) bool {
	switch {
	case c.role == localRole:
		return true
	case c.role == "":
		return false
	case takes == pki.Operator && c.role == pki.Agent:
		return c.fence != nil
	case takes == pki.Operator && c.fence != nil:
		return false
	}
	return takes == pki.Viewer || takes == c.role
}

// server is one of the agent's listeners.
type server struct {
	listener net.Listener
	http     *http.Server
}

func (s *server) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// listen opens the socket and the port that the configuration names.
func (a *Agent) listen() (servers []*server, err error) {
	defer func() {
		if err != nil {
			for _, s := range servers {
				s.listener.Close()
			}
		}
	}()
	if a.cfg.Socket != "" {
		l, err := control.Listen(a.cfg.Socket)
		if err != nil {
			return servers, fmt.Errorf("agent: socket: %w", err)
		}
		servers = append(servers, a.server(netutil.LimitListener(peers{l, os.Getuid(), a.refused.add}, connectionsMost), localCaller))
	}
	if a.cfg.Listen != "" {
		conf, err := pki.ServerConfig(a.cfg.TLS.CA, a.cfg.TLS.Cert, a.cfg.TLS.Key, a.refused.add)
		if err != nil {
			return servers, fmt.Errorf("agent: tls: %w", err)
		}
		l, err := net.Listen("tcp", a.cfg.Listen)
		if err != nil {
			return servers, fmt.Errorf("agent: listen: %w", err)
		}
		a.log.Info("listens", "addr", l.Addr().String())
		servers = append(servers, a.server(tls.NewListener(netutil.LimitListener(l, connectionsMost), conf), remoteCaller))
	}
	return servers, nil
}

// server makes one; who tells who asks.
func (a *Agent) server(l net.Listener, who func(*http.Request) caller) *server {
	return &server{l, &http.Server{
		Handler: a.handler(who), ReadHeaderTimeout: readWithin, ReadTimeout: 2 * readWithin, WriteTimeout: protocol.WaitMost + 2*readWithin,
		IdleTimeout: idleFor, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug),
	}}
}

func (a *Agent) handler(whoAsks func(*http.Request) caller) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern, role string, f func(r *http.Request, c caller) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			c := whoAsks(r)
			if c.role == pki.Agent && a.cfg.Council == nil {
				c.role = ""
			}
			if text := r.Header.Get(protocol.FenceHeader); text != "" {
				var err error
				if c.fence, err = a.readFence(text); err != nil {
					reply(w, nil, err)
					return
				}
				if r.Method != http.MethodGet && a.forgetful() {
					// Its token may be the highest known here and still be an old one.
					reply(w, nil, protocol.Errorf(protocol.CodeForgetful, "%s may have lost its memory and takes no order before the council has told it which tokens there were", a.cfg.Name))
					return
				}
			}
			if !c.may(role) {
				a.refused.add("role")
				reply(w, nil, protocol.Errorf(protocol.CodeForbidden, "%q has the role %q, this takes %q", c.name, c.role, role))
				return
			}
			v, err := f(r, c)
			reply(w, v, err)
		})
	}
	handle("GET /v1/agent", pki.Viewer, func(*http.Request, caller) (any, error) {
		return protocol.Agent{
			Name: a.cfg.Name, Protocol: protocol.Version, Version: a.version, Started: a.started,
			Instances: len(a.order), Record: a.recordState(), Refused: a.refused.all(), Strays: a.strays,
		}, nil
	})
	handle("GET /v1/instances", pki.Viewer, func(*http.Request, caller) (any, error) { return a.instances(), nil })
	handle("GET /v1/instances/{name}/inspect", pki.Viewer, func(r *http.Request, _ caller) (any, error) { return a.inspect(r) })
	handle("POST /v1/instances/{name}/kept", pki.Operator, func(r *http.Request, c caller) (any, error) {
		var k control.Keep
		if err := read(r, &k); err != nil {
			return nil, err
		}
		if err := k.Check(); err != nil {
			return nil, protocol.Errorf(protocol.CodeUsage, "%v", err)
		}
		u, err := a.controlled(r)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(r.Context(), lookWait)
		defer cancel()
		if err := a.runner.Keep(ctx, u.def, k); err != nil {
			return nil, protocol.Errorf(protocol.CodeFailed, "%s: %v", u.def.Name, err)
		}
		a.log.Info("told an instance what becomes of what it keeps", "instance", u.def.Name, "do", k.Do, "operator", c.name)
		return a.inspect(r)
	})
	handle("GET /v1/recovery", pki.Viewer, func(*http.Request, caller) (any, error) { return a.recoveryState(), nil })
	handle("POST /v1/recovery/{instance}", pki.Operator, func(r *http.Request, c caller) (any, error) {
		var q protocol.Decision
		if err := read(r, &q); err != nil {
			return nil, err
		}
		if err := a.decide(r.PathValue("instance"), q.Up, c.name); err != nil {
			return nil, err
		}
		return a.recoveryState(), nil
	})
	handle("GET /v1/commands", pki.Viewer, func(*http.Request, caller) (any, error) { return a.commands(commandsShown), nil })
	handle("GET /v1/commands/{id}", pki.Viewer, func(r *http.Request, _ caller) (any, error) { return a.command(r.PathValue("id")) })
	handle("POST /v1/commands", pki.Operator, func(r *http.Request, c caller) (any, error) {
		var q protocol.CommandRequest
		if err := read(r, &q); err != nil {
			return nil, err
		}
		// The body's fence makes agents from before there were any refuse the command.
		if (q.Fence == nil) != (c.fence == nil) || q.Fence != nil && *q.Fence != *c.fence {
			return nil, protocol.Errorf(protocol.CodeUsage, "fence: %v in the body, %v in %s", q.Fence, c.fence, protocol.FenceHeader)
		}
		return a.openCommand(q, c)
	})
	handle("POST /v1/commands/{id}/renew", pki.Operator, func(r *http.Request, c caller) (any, error) {
		return a.renew(r.PathValue("id"), c)
	})
	handle("POST /v1/commands/{id}/close", pki.Operator, func(r *http.Request, c caller) (any, error) {
		var q protocol.CloseRequest
		if err := read(r, &q); err != nil {
			return nil, err
		}
		return a.closeCommand(r.PathValue("id"), c, q.Reason)
	})
	handle("POST /v1/commands/{id}/abort", pki.Operator, func(r *http.Request, c caller) (any, error) {
		return a.abort(r.PathValue("id"), c.name)
	})
	handle("POST /v1/commands/{id}/run/{instance}", pki.Operator, func(r *http.Request, c caller) (any, error) {
		return a.runOperation(r.PathValue("id"), r.PathValue("instance"), c)
	})
	handle("GET /v1/commands/{id}/run/{instance}", pki.Viewer, func(r *http.Request, _ caller) (any, error) {
		wait := time.Duration(0)
		if text := r.URL.Query().Get("wait"); text != "" {
			ms, err := strconv.ParseInt(text, 10, 64)
			if err != nil || ms < 0 {
				return nil, protocol.Errorf(protocol.CodeUsage, "wait: %q is no number of milliseconds", text)
			}
			wait = time.Duration(min(ms, protocol.WaitMost.Milliseconds())) * time.Millisecond
		}
		return a.waitOperation(r.Context(), r.PathValue("id"), r.PathValue("instance"), wait)
	})
	if a.council != nil {
		a.councilCalls(mux, handle, whoAsks)
	} else {
		off := func(w http.ResponseWriter, _ *http.Request) {
			reply(w, nil, protocol.Errorf(protocol.CodeOff, "this agent's file has no [council]"))
		}
		for _, path := range []string{"/v1/council", "/v1/council/", "/v1/fleet", "/v1/fleet/"} {
			mux.HandleFunc(path, off)
		}
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		reply(w, nil, protocol.Errorf(protocol.CodeNotFound, "%s %s: no such call", r.Method, r.URL.Path))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v := asks(r); v != strconv.Itoa(protocol.Version) {
			a.refused.add("version")
			reply(w, nil, protocol.Errorf(protocol.CodeVersion, "asked in protocol version %q, this agent (%s) speaks version %d: bring tool and agent to one version", v, a.version, protocol.Version))
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// readFence takes a fence if this agent is one of a fleet with a council.
func (a *Agent) readFence(text string) (*protocol.Fence, error) {
	if a.cfg.Council == nil {
		return nil, protocol.Errorf(protocol.CodeUsage, "%s: this agent's file has no [council]: it knows of no duties", protocol.FenceHeader)
	}
	return protocol.ReadFence(text)
}

// asks gives the protocol's version that a request is in; "?" if its path and its
// header differ or tell none.
func asks(r *http.Request) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	v, ok := strings.CutPrefix(first, "v")
	if h := r.Header.Get(protocol.VersionHeader); !ok || h != "" && h != v {
		return "?"
	}
	return v
}

// localCaller goes by the user that peers has let in.
func localCaller(r *http.Request) caller { return caller{name: r.RemoteAddr, role: localRole} }

// remoteCaller goes by the certificate. Without one there is no role: that the
// connection is TLS is not taken for granted here.
func remoteCaller(r *http.Request) caller {
	if r.TLS == nil {
		return caller{name: r.RemoteAddr}
	}
	name, role := pki.Who(r.TLS)
	return caller{name: name, role: role}
}

// read takes a request's body, which must be one JSON value of known fields.
func read(r *http.Request, into any) error { return readBody(r, into, true) }

// readLoose is read for what agents of two versions say to each other during an upgrade: what a
// newer one adds to a command that this one knows is passed over. What it must not pass over
// has another form (duty.Form).
func readLoose(r *http.Request, into any) error { return readBody(r, into, false) }

func readBody(r *http.Request, into any, strict bool) error {
	text, err := io.ReadAll(io.LimitReader(r.Body, protocol.BodyMost+1))
	if err != nil {
		return protocol.Errorf(protocol.CodeUsage, "body: %v", err)
	}
	if len(text) > protocol.BodyMost {
		return protocol.Errorf(protocol.CodeUsage, "body: over %d bytes", protocol.BodyMost)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	if strict {
		d.DisallowUnknownFields()
	}
	if err := d.Decode(into); err != nil {
		return protocol.Errorf(protocol.CodeUsage, "body: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return protocol.Errorf(protocol.CodeUsage, "body: more than one value")
	}
	return nil
}

func reply(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	if err != nil {
		var e *protocol.Error
		if !errors.As(err, &e) {
			e = protocol.Errorf(protocol.CodeFailed, "%v", err)
		}
		v, status = e, e.Status()
	}
	text, err := json.Marshal(v)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"code":"failed","text":"the answer can't be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(protocol.VersionHeader, strconv.Itoa(protocol.Version))
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n'))
}

// controlled gives the instance that a call is about, if it has a control socket.
func (a *Agent) controlled(r *http.Request) (*unit, error) {
	u := a.units[r.PathValue("name")]
	if u == nil {
		return nil, protocol.Errorf(protocol.CodeNotFound, "no instance %q is known here", r.PathValue("name"))
	}
	if u.def.Control == "" {
		return nil, protocol.Errorf(protocol.CodeFailed, "the agent's file names no control socket for %s", u.def.Name)
	}
	return u, nil
}

// inspect asks the instance's control socket.
func (a *Agent) inspect(r *http.Request) (any, error) {
	u, err := a.controlled(r)
	if err != nil {
		return nil, err
	}
	i, err := u.inspect(r.Context())
	if err != nil {
		return nil, err
	}
	return i, nil
}
