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

// StreamWord is what a stream between voters is upgraded to (RFC 9110, section 7.8).
const StreamWord = "otterstep-council"

// Raise raises a duty's token and tells what is at the agent behind it.
func (c *Client) Raise(ctx context.Context, f protocol.Fence) (r protocol.Raised, err error) {
	return r, c.call(WithFence(ctx, f), http.MethodPost, "/fence", f, &r)
}

// CouncilStatus asks for the state of the agent's voter.
func (c *Client) CouncilStatus(ctx context.Context) (s duty.Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/council/status", nil, &s)
}

// direct makes a call one that the agent answers itself or not at all, instead of asking the
// council's leader.
func direct(on bool) string {
	if on {
		return "?direct=1"
	}
	return ""
}

// CouncilView asks what is agreed on.
func (c *Client) CouncilView(ctx context.Context, itself bool) (v duty.View, err error) {
	return v, c.call(ctx, http.MethodGet, "/council"+direct(itself), nil, &v)
}

// CouncilDo has a command agreed on.
func (c *Client) CouncilDo(ctx context.Context, k duty.Command, itself bool) (a duty.Answer, err error) {
	return a, c.call(ctx, http.MethodPost, "/council/command"+direct(itself), k, &a)
}

// Desired asks what the fleet should be.
func (c *Client) Desired(ctx context.Context, itself bool) (v duty.FleetView, err error) {
	return v, c.call(ctx, http.MethodGet, "/fleet/desired"+direct(itself), nil, &v)
}

// Fleet asks how far the fleet's word has come at the agent's instances.
func (c *Client) Fleet(ctx context.Context) (f protocol.Fleet, err error) {
	return f, c.call(ctx, http.MethodGet, "/fleet", nil, &f)
}

// TellFleet brings the fleet's word to the agent; the context carries the owner's fence.
func (c *Client) TellFleet(ctx context.Context, o protocol.FleetOrder) (f protocol.Fleet, err error) {
	return f, c.call(ctx, http.MethodPost, "/fleet", o, &f)
}

// CouncilRenew renews a duty's lease.
func (c *Client) CouncilRenew(ctx context.Context, r duty.Renewal) error {
	var none struct{}
	return c.call(ctx, http.MethodPost, "/council/renew", r, &none)
}

// CouncilRecover has the agent's voter go on alone.
func (c *Client) CouncilRecover(ctx context.Context, cluster string) error {
	var none struct{}
	return c.call(ctx, http.MethodPost, "/council/recover", protocol.Recover{Cluster: cluster}, &none)
}

// CouncilBackup asks for the council's whole state.
func (c *Client) CouncilBackup(ctx context.Context, itself bool) (b *duty.Backup, err error) {
	return b, c.call(ctx, http.MethodGet, "/council/backup"+direct(itself), nil, &b)
}

// CouncilStream begins a stream between two voters, on a connection of its own.
func (c *Client) CouncilStream(ctx context.Context, h duty.Hello) (net.Conn, error) {
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	kept := false
	defer func() {
		if !stop() || !kept {
			conn.Close()
		}
	}()
	q := url.Values{"cluster": {h.Cluster}, "founding": {h.Founding}, "epoch": {strconv.FormatUint(h.Epoch, 10)}, "from": {h.From}, "to": {h.To}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v"+strconv.Itoa(protocol.Version)+"/council/stream?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(protocol.VersionHeader, strconv.Itoa(protocol.Version))
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", StreamWord)
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
		text, err := io.ReadAll(io.LimitReader(resp.Body, protocol.BodyMost))
		e := &protocol.Error{}
		if err != nil || json.Unmarshal(text, e) != nil || e.Code == "" {
			return nil, fmt.Errorf("agent %s answered %s to a stream", c.name, resp.Status)
		}
		return nil, e
	}
	if read.Buffered() > 0 { // who accepts speaks second
		return nil, fmt.Errorf("agent %s speaks before it was asked", c.name)
	}
	kept = true
	return conn, nil
}
