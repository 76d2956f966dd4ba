package client

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
)

// StreamProtocol is the protocol name in the Upgrade header of a stream between voters (RFC 9110,
// section 7.8).
const StreamProtocol = "otterstep-council"

// RaiseToken raises a duty's fencing token at the agent and returns the agent's instances as of
// that token.
func (c *Client) RaiseToken(ctx context.Context, f protocol.Fence) (r protocol.FenceAnswer, err error) {
	return r, c.call(WithFence(ctx, f), http.MethodPost, "/fence", f, &r)
}

// CouncilStatus returns the state of the agent's voter.
func (c *Client) CouncilStatus(ctx context.Context) (s duty.Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/council/status", nil, &s)
}

// directQuery returns the query parameter that makes the agent answer by itself or not at all,
// instead of forwarding the call to the council's leader.
func directQuery(on bool) string {
	if on {
		return "?direct=1"
	}
	return ""
}

// CouncilView returns the council's state.
func (c *Client) CouncilView(ctx context.Context, directOnly bool) (v duty.View, err error) {
	return v, c.call(ctx, http.MethodGet, "/council"+directQuery(directOnly), nil, &v)
}

// CouncilSubmit submits a command to the council.
func (c *Client) CouncilSubmit(ctx context.Context, k duty.Command, directOnly bool) (a duty.Answer, err error) {
	return a, c.call(ctx, http.MethodPost, "/council/command"+directQuery(directOnly), k, &a)
}

// Desired returns the fleet's desired state.
func (c *Client) Desired(ctx context.Context, directOnly bool) (v duty.FleetView, err error) {
	return v, c.call(ctx, http.MethodGet, "/fleet/desired"+directQuery(directOnly), nil, &v)
}

// Fleet returns which version of the fleet's bans the agent's instances have applied.
func (c *Client) Fleet(ctx context.Context) (f protocol.FleetStatus, err error) {
	return f, c.call(ctx, http.MethodGet, "/fleet", nil, &f)
}

// SendFleetOrder sends the fleet's bans to the agent; the context carries the owner's fence.
func (c *Client) SendFleetOrder(ctx context.Context, o protocol.FleetOrder) (f protocol.FleetStatus, err error) {
	return f, c.call(ctx, http.MethodPost, "/fleet", o, &f)
}

// CouncilRenew renews a duty's lease.
func (c *Client) CouncilRenew(ctx context.Context, r duty.Renewal) error {
	var none struct{}
	return c.call(ctx, http.MethodPost, "/council/renew", r, &none)
}

// CouncilRecover makes the agent's voter the council's only one.
func (c *Client) CouncilRecover(ctx context.Context, cluster string) error {
	var none struct{}
	return c.call(ctx, http.MethodPost, "/council/recover", protocol.Recover{Cluster: cluster}, &none)
}

// CouncilBackup returns the council's whole state.
func (c *Client) CouncilBackup(ctx context.Context, directOnly bool) (b *duty.Backup, err error) {
	return b, c.call(ctx, http.MethodGet, "/council/backup"+directQuery(directOnly), nil, &b)
}

// CouncilStream opens a stream between two voters on a separate connection.
func (c *Client) CouncilStream(ctx context.Context, h duty.Hello) (net.Conn, error) {
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	succeeded := false
	defer func() {
		if !stop() || !succeeded {
			conn.Close()
		}
	}()
	q := url.Values{"cluster": {h.Cluster}, "founding": {h.CouncilID}, "epoch": {strconv.FormatUint(h.Epoch, 10)}, "from": {h.From}, "to": {h.To}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v"+strconv.Itoa(protocol.Version)+"/council/stream?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(protocol.VersionHeader, strconv.Itoa(protocol.Version))
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", StreamProtocol)
	if err := req.Write(conn); err != nil {
		return nil, err
	}
	read := bufio.NewReader(conn)
	resp, err := http.ReadResponse(read, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		defer resp.Body.Close()
		text, err := io.ReadAll(io.LimitReader(resp.Body, protocol.MaxBodySize))
		e := &protocol.Error{}
		if err != nil || json.Unmarshal(text, e) != nil || e.Code == "" {
			return nil, fmt.Errorf("agent %s refused the stream: %s", c.name, resp.Status)
		}
		return nil, e
	}
	if read.Buffered() > 0 { // the accepting side does not send first
		return nil, fmt.Errorf("agent %s sent data before the stream's first message", c.name)
	}
	succeeded = true
	return conn, nil
}
