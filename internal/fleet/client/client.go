// Package client is the HTTP client of one agent.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"otterstep/internal/control"
	"otterstep/internal/fleet/protocol"
)

// Client calls an agent. It may be used from several goroutines.
type Client struct {
	name string
	base string
	http *http.Transport
	dial func(ctx context.Context) (net.Conn, error) // opens a separate connection, for streams
}

// New returns a client of the agent at an address: "unix:/path" or "https://host:port".
// conf is used for the latter.
func New(name, address string, conf *tls.Config) (*Client, error) {
	t := &http.Transport{TLSClientConfig: conf, MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second}
	c := &Client{name: name, http: t}
	if path, ok := strings.CutPrefix(address, "unix:"); ok && path != "" {
		c.base = "http://agent"
		c.dial = func(ctx context.Context) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "unix", path)
		}
		t.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return c.dial(ctx) }
		return c, nil
	}
	u, err := url.Parse(address)
	if err != nil || u.Scheme != "https" || u.Host == "" || strings.Trim(u.Path, "/") != "" {
		return nil, fmt.Errorf("agent %s: address %q is neither unix:/path nor https://host:port", name, address)
	}
	if conf == nil {
		return nil, fmt.Errorf("agent %s: %s needs ca, cert and key", name, address)
	}
	c.base = "https://" + u.Host
	host := u.Host
	if u.Port() == "" {
		host = net.JoinHostPort(u.Hostname(), "443")
	}
	c.dial = func(ctx context.Context) (net.Conn, error) {
		return (&tls.Dialer{Config: conf}).DialContext(ctx, "tcp", host)
	}
	return c, nil
}

// Name returns the agent's name in the operator's list.
func (c *Client) Name() string { return c.name }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// NoAnswerError reports that an agent gave no usable answer: whether it executed the
// call is unknown.
type NoAnswerError struct {
	Agent  string
	Waited time.Duration
	Err    error
}

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("agent %s did not answer in %v: %v", e.Agent, e.Waited.Round(time.Millisecond), e.Err)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// call sends a request and decodes the answer. An error is the *protocol.Error that
// the agent returned, or a *NoAnswerError.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	began := time.Now()
	err := c.roundTrip(ctx, method, path, body, into)
	var refused *protocol.Error
	if err == nil || errors.As(err, &refused) {
		return err
	}
	return &NoAnswerError{c.name, time.Since(began), err}
}

func (c *Client) roundTrip(ctx context.Context, method, path string, body, into any) error {
	var text io.Reader = http.NoBody
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return err
		}
		text = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+"/v"+strconv.Itoa(protocol.Version)+path, text)
	if err != nil {
		return err
	}
	req.Header.Set(protocol.VersionHeader, strconv.Itoa(protocol.Version))
	if f, ok := ctx.Value(fenceKey{}).(protocol.Fence); ok {
		req.Header.Set(protocol.FenceHeader, f.String())
	}
	resp, err := c.http.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, protocol.MaxAnswerSize+1))
	switch v := resp.Header.Get(protocol.VersionHeader); {
	case err != nil:
		return err
	case len(answer) > protocol.MaxAnswerSize:
		return fmt.Errorf("answer exceeds %d bytes", protocol.MaxAnswerSize)
	case resp.StatusCode/100 != 2:
		e := &protocol.Error{}
		if err := json.Unmarshal(answer, e); err != nil || e.Code == "" {
			return fmt.Errorf("answered %s without an agent's error: %.80q", resp.Status, answer)
		}
		return e
	case v != strconv.Itoa(protocol.Version):
		return protocol.Errorf(protocol.CodeVersion, "answers in protocol version %q, this tool speaks version %d: bring tool and agent to one version", v, protocol.Version)
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("answer can't be read: %w", err)
	}
	return nil
}

type fenceKey struct{}

// WithFence returns a context whose calls carry a fence, as orders of a duty's owner.
func WithFence(ctx context.Context, f protocol.Fence) context.Context {
	return context.WithValue(ctx, fenceKey{}, f)
}

// Agent returns the agent's own state.
func (c *Client) Agent(ctx context.Context) (a protocol.Agent, err error) {
	return a, c.call(ctx, http.MethodGet, "/agent", nil, &a)
}

// Instances returns the agent's instances.
func (c *Client) Instances(ctx context.Context) (list []protocol.Instance, err error) {
	return list, c.call(ctx, http.MethodGet, "/instances", nil, &list)
}

// Recovery returns the state of the agent's stored data and its held instances.
func (c *Client) Recovery(ctx context.Context) (r protocol.Recovery, err error) {
	return r, c.call(ctx, http.MethodGet, "/recovery", nil, &r)
}

// Decide sets the desired state of a held instance.
func (c *Client) Decide(ctx context.Context, instance string, up bool) (r protocol.Recovery, err error) {
	return r, c.call(ctx, http.MethodPost, "/recovery/"+url.PathEscape(instance), protocol.Decision{Up: up}, &r)
}

// Inspect returns an instance's inspection.
func (c *Client) Inspect(ctx context.Context, instance string) (i control.Inspection, err error) {
	return i, c.call(ctx, http.MethodGet, "/instances/"+url.PathEscape(instance)+"/inspect", nil, &i)
}

// SendStateCommand sends a command on an instance's saved state, which it uses to restart
// without discovery.
func (c *Client) SendStateCommand(ctx context.Context, instance string, k control.StateCommand) (i control.Inspection, err error) {
	return i, c.call(ctx, http.MethodPost, "/instances/"+url.PathEscape(instance)+"/kept", k, &i)
}

// Commands returns the latest commands.
func (c *Client) Commands(ctx context.Context) (list []protocol.Command, err error) {
	return list, c.call(ctx, http.MethodGet, "/commands", nil, &list)
}

// Command returns one command.
func (c *Client) Command(ctx context.Context, id string) (k protocol.Command, err error) {
	return k, c.call(ctx, http.MethodGet, "/commands/"+url.PathEscape(id), nil, &k)
}

// Open opens a command.
func (c *Client) Open(ctx context.Context, r protocol.CommandRequest) (k protocol.Command, err error) {
	return k, c.call(ctx, http.MethodPost, "/commands", r, &k)
}

// Renew renews a command's lease.
func (c *Client) Renew(ctx context.Context, id string) (k protocol.Command, err error) {
	return k, c.call(ctx, http.MethodPost, "/commands/"+id+"/renew", nil, &k)
}

// CloseCommand ends a command and releases its leases.
func (c *Client) CloseCommand(ctx context.Context, id, reason string) (k protocol.Command, err error) {
	return k, c.call(ctx, http.MethodPost, "/commands/"+id+"/close", protocol.CloseRequest{Reason: reason}, &k)
}

// Abort ends a command, including those of other operators.
func (c *Client) Abort(ctx context.Context, id string) (k protocol.Command, err error) {
	return k, c.call(ctx, http.MethodPost, "/commands/"+url.PathEscape(id)+"/abort", nil, &k)
}

// Run starts a command's operation on an instance. It is idempotent.
func (c *Client) Run(ctx context.Context, id, instance string) (o protocol.Operation, err error) {
	return o, c.call(ctx, http.MethodPost, "/commands/"+id+"/run/"+url.PathEscape(instance), nil, &o)
}

// Wait waits until an operation has ended, at most for the given time.
func (c *Client) Wait(ctx context.Context, id, instance string, wait time.Duration) (o protocol.Operation, err error) {
	path := fmt.Sprintf("/commands/%s/run/%s?wait=%d", id, url.PathEscape(instance), wait.Milliseconds())
	return o, c.call(ctx, http.MethodGet, path, nil, &o)
}
