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
	maxConnections    = 256 // per listener; further connections wait in the kernel's accept queue
	maxCommandsListed = 200
	readTimeout       = 5 * time.Second
	idleTimeout       = 30 * time.Second
)

// refusals counts refused connections and requests by cause.
type refusals struct {
	mu     sync.Mutex
	counts map[string]int64 // the causes are a small fixed set
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

// localRole is the role of this machine's user, which includes the rights of all other roles.
const localRole = "local"

// caller identifies the sender of a request.
type caller struct {
	name string
	role string // a role of package pki, localRole, or "" for none
	// fence is the duty in whose name the caller gives orders, if any.
	fence *protocol.Fence
}

// may reports whether the caller's role permits a request that requires a role. An agent may view,
// and may give orders only as the owner of a duty; an operator may not act as an owner.
func (c caller) may(required string) bool {
	switch {
	case c.role == localRole:
		return true
	case c.role == "":
		return false
	case required == pki.Operator && c.role == pki.Agent:
		return c.fence != nil
	case required == pki.Operator && c.fence != nil:
		return false
	}
	return required == pki.Viewer || required == c.role
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

// listen opens the configured Unix socket and TCP listener.
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
		servers = append(servers, a.server(netutil.LimitListener(credentialListener{l, os.Getuid(), a.refused.add}, maxConnections), localCaller))
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
		a.log.Info("listening", "addr", l.Addr().String())
		servers = append(servers, a.server(tls.NewListener(netutil.LimitListener(l, maxConnections), conf), remoteCaller))
	}
	return servers, nil
}

// server returns a server for a listener; identify determines the caller of a request.
func (a *Agent) server(l net.Listener, identify func(*http.Request) caller) *server {
	return &server{l, &http.Server{
		Handler: a.handler(identify), ReadHeaderTimeout: readTimeout, ReadTimeout: 2 * readTimeout, WriteTimeout: protocol.MaxWait + 2*readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug),
	}}
}

func (a *Agent) handler(identify func(*http.Request) caller) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern, role string, f func(r *http.Request, c caller) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			c := identify(r)
			if c.role == pki.Agent && a.cfg.Council == nil {
				c.role = ""
			}
			if text := r.Header.Get(protocol.FenceHeader); text != "" {
				var err error
				if c.fence, err = a.readFence(text); err != nil {
					reply(w, nil, err)
					return
				}
				if r.Method != http.MethodGet && a.mayLackTokens() {
					// The token may be the highest known here and still be outdated.
					reply(w, nil, protocol.Errorf(protocol.CodeForgetful, "%s may have lost its fencing tokens and takes no order before it has received them from the council", a.cfg.Name))
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
			Instances: len(a.unitNames), Record: a.recordState(), Refused: a.refused.all(), Strays: a.unmanaged,
		}, nil
	})
	handle("GET /v1/instances", pki.Viewer, func(*http.Request, caller) (any, error) { return a.instances(), nil })
	handle("GET /v1/instances/{name}/inspect", pki.Viewer, func(r *http.Request, _ caller) (any, error) { return a.inspect(r) })
	handle("POST /v1/instances/{name}/kept", pki.Operator, func(r *http.Request, c caller) (any, error) {
		var k control.StateCommand
		if err := decodeStrict(r, &k); err != nil {
			return nil, err
		}
		if err := k.Check(); err != nil {
			return nil, protocol.Errorf(protocol.CodeUsage, "%v", err)
		}
		u, err := a.controlledUnit(r)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(r.Context(), inspectTimeout)
		defer cancel()
		if err := a.runner.SendStateCommand(ctx, u.def, k); err != nil {
			return nil, protocol.Errorf(protocol.CodeFailed, "%s: %v", u.def.Name, err)
		}
		a.log.Info("sent an instance a command about its saved state", "instance", u.def.Name, "do", k.Do, "operator", c.name)
		return a.inspect(r)
	})
	handle("GET /v1/recovery", pki.Viewer, func(*http.Request, caller) (any, error) { return a.recoveryState(), nil })
	handle("POST /v1/recovery/{instance}", pki.Operator, func(r *http.Request, c caller) (any, error) {
		var q protocol.Decision
		if err := decodeStrict(r, &q); err != nil {
			return nil, err
		}
		if err := a.decide(r.PathValue("instance"), q.Up, c.name); err != nil {
			return nil, err
		}
		return a.recoveryState(), nil
	})
	handle("GET /v1/commands", pki.Viewer, func(*http.Request, caller) (any, error) { return a.commands(maxCommandsListed), nil })
	handle("GET /v1/commands/{id}", pki.Viewer, func(r *http.Request, _ caller) (any, error) { return a.command(r.PathValue("id")) })
	handle("POST /v1/commands", pki.Operator, func(r *http.Request, c caller) (any, error) {
		var q protocol.CommandRequest
		if err := decodeStrict(r, &q); err != nil {
			return nil, err
		}
		// The fence is repeated in the body so that agents of versions without fences refuse the command.
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
		if err := decodeStrict(r, &q); err != nil {
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
				return nil, protocol.Errorf(protocol.CodeUsage, "wait: %q is not a number of milliseconds", text)
			}
			wait = time.Duration(min(ms, protocol.MaxWait.Milliseconds())) * time.Millisecond
		}
		return a.waitOperation(r.Context(), r.PathValue("id"), r.PathValue("instance"), wait)
	})
	if a.council != nil {
		a.registerCouncilHandlers(mux, handle, identify)
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
		if v := requestedVersion(r); v != strconv.Itoa(protocol.Version) {
			a.refused.add("version")
			reply(w, nil, protocol.Errorf(protocol.CodeVersion, "the request has protocol version %q, this agent (%s) speaks version %d: bring tool and agent to one version", v, a.version, protocol.Version))
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// readFence parses a fence header. It fails if this agent has no council.
func (a *Agent) readFence(text string) (*protocol.Fence, error) {
	if a.cfg.Council == nil {
		return nil, protocol.Errorf(protocol.CodeUsage, "%s: this agent's file has no [council], so it accepts no fences", protocol.FenceHeader)
	}
	return protocol.ParseFence(text)
}

// requestedVersion returns the protocol version of a request; "?" if its path has none or its
// header differs.
func requestedVersion(r *http.Request) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	v, ok := strings.CutPrefix(first, "v")
	if h := r.Header.Get(protocol.VersionHeader); !ok || h != "" && h != v {
		return "?"
	}
	return v
}

// localCaller identifies the caller by the user name from credentialListener.
func localCaller(r *http.Request) caller { return caller{name: r.RemoteAddr, role: localRole} }

// remoteCaller identifies the caller by its certificate. Without TLS the caller has no role:
// this does not rely on the listener being a TLS one.
func remoteCaller(r *http.Request) caller {
	if r.TLS == nil {
		return caller{name: r.RemoteAddr}
	}
	name, role := pki.PeerIdentity(r.TLS)
	return caller{name: name, role: role}
}

// decodeStrict decodes a request's body, which must be a single JSON value without unknown fields.
func decodeStrict(r *http.Request, into any) error { return decodeBody(r, into, true) }

// decodeLenient is decodeStrict for messages between agents of different versions during an upgrade:
// unknown fields that a newer agent adds are ignored. Changes that must not be ignored get a new
// format version (duty.FormatVersion).
func decodeLenient(r *http.Request, into any) error { return decodeBody(r, into, false) }

func decodeBody(r *http.Request, into any, strict bool) error {
	text, err := io.ReadAll(io.LimitReader(r.Body, protocol.MaxBodySize+1))
	if err != nil {
		return protocol.Errorf(protocol.CodeUsage, "body: %v", err)
	}
	if len(text) > protocol.MaxBodySize {
		return protocol.Errorf(protocol.CodeUsage, "body: over %d bytes", protocol.MaxBodySize)
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

// controlledUnit returns the unit named in a request. It fails if the instance has no control socket.
func (a *Agent) controlledUnit(r *http.Request) (*unit, error) {
	u := a.units[r.PathValue("name")]
	if u == nil {
		return nil, protocol.Errorf(protocol.CodeNotFound, "no instance %q is known here", r.PathValue("name"))
	}
	if u.def.Control == "" {
		return nil, protocol.Errorf(protocol.CodeFailed, "the agent's file names no control socket for %s", u.def.Name)
	}
	return u, nil
}

// inspect returns the instance's status from its control socket.
func (a *Agent) inspect(r *http.Request) (any, error) {
	u, err := a.controlledUnit(r)
	if err != nil {
		return nil, err
	}
	i, err := u.inspect(r.Context())
	if err != nil {
		return nil, err
	}
	return i, nil
}
