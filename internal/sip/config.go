package sip

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"otterstep/internal/serverlist"
	"otterstep/internal/sip/proxy"
	"otterstep/internal/sip/token"
	"otterstep/internal/tlsfile"
	"otterstep/internal/tomlfile"
	"otterstep/policy"
)

// Config is the [sip] table of the operator's file. Without a listener the front is disabled.
type Config struct {
	UDP      string `toml:"udp"` // listeners as address:port; "" for none
	TCP      string `toml:"tcp"`
	TLS      string `toml:"tls"`
	Cert     string `toml:"cert"`      // certificate and key of the TLS listener: PEM files
	Key      string `toml:"key"`       //
	ClientCA string `toml:"client_ca"` // callers need a certificate issued by it; "" for no check

	TokenKey   string              `toml:"token_key"`   // file with at least 32 bytes, the same at all instances
	DialogFor  tomlfile.Duration   `toml:"dialog_for"`  // how long the requests of a dialog are routed
	Model      string              `toml:"model"`       // take the servers of this model from discovery's list
	Servers    []serverlist.Server `toml:"server"`      // or list them here
	Instances  int                 `toml:"instances"`   // number of instances that share the servers, including this one
	RetryAfter tomlfile.Duration   `toml:"retry_after"` // minimum Retry-After in refusals; up to twice as long is sent
	Ping       tomlfile.Duration   `toml:"ping"`        // interval for checking whether a server is due its trial, an OPTIONS
	Drain      tomlfile.Duration   `toml:"drain"`       // how long a node that shuts down waits for calls being set up

	Upstream struct {
		Transport string `toml:"transport"` // to the servers: udp, tcp or tls
		CA        string `toml:"ca"`        // issuer of the servers' certificates
		Name      string `toml:"name"`      // expected name in the servers' certificates
		Cert      string `toml:"cert"`      // client certificate for the servers; "" for none
		Key       string `toml:"key"`
	} `toml:"upstream"`

	Limits struct {
		Transactions int               `toml:"transactions"`
		PerSource    int               `toml:"per_source"`
		Connections  int               `toml:"connections"`
		Message      tomlfile.Size     `toml:"message"`
		Idle         tomlfile.Duration `toml:"idle"` // connections without a message for this long are closed
	} `toml:"limits"`

	Class struct {
		Invite    Class `toml:"invite"`
		Register  Class `toml:"register"`
		Subscribe Class `toml:"subscribe"`
		Options   Class `toml:"options"`
		Other     Class `toml:"other"`
	} `toml:"class"`
}

// Class holds the time limits of a request class.
type Class struct {
	Aim      tomlfile.Duration `toml:"aim"`      // for an INVITE: time until the server rings
	Deadline tomlfile.Duration `toml:"deadline"` // time until the final response
	// How long servers drop a repeated request with the same Call-ID and CSeq, so that it
	// may be retried. 0: they don't.
	RepeatsDropped tomlfile.Duration `toml:"repeats_dropped"`
}

// Enabled reports whether the front is enabled.
func (c *Config) Enabled() bool { return c.UDP != "" || c.TCP != "" || c.TLS != "" }

// classes returns the classes in the order of proxy.Class.
func (c *Config) classes() [proxy.NumClasses]*Class {
	return [proxy.NumClasses]*Class{&c.Class.Invite, &c.Class.Register, &c.Class.Subscribe, &c.Class.Options, &c.Class.Other}
}

// Check fills in defaults and reports all errors to f.
func (c *Config) Check(f *tomlfile.File) {
	if !c.Enabled() {
		if c.Model != "" || len(c.Servers) > 0 || c.TokenKey != "" {
			f.Errorf("sip", "no listener: one of udp, tcp and tls is needed to switch it on")
		}
		return
	}
	defaultDuration := func(key string, d *tomlfile.Duration, value, least time.Duration) {
		if d.Duration == 0 {
			d.Duration = value
		}
		if d.Duration < least {
			f.Errorf("sip."+key, "%v, at least %v is needed", d.Duration, least)
		}
	}
	defaultCount := func(key string, n *int, value, least int) {
		if *n == 0 {
			*n = value
		}
		if *n < least {
			f.Errorf("sip."+key, "%d, at least %d are needed", *n, least)
		}
	}
	for _, l := range []struct{ key, at string }{{"udp", c.UDP}, {"tcp", c.TCP}, {"tls", c.TLS}} {
		if l.at == "" {
			continue
		}
		if at, err := netip.ParseAddrPort(l.at); err != nil {
			f.Errorf("sip."+l.key, "%q is no address and port, as in \"127.0.0.1:5060\"; there are no name look-ups", l.at)
		} else if at.Addr().IsUnspecified() {
			f.Errorf("sip."+l.key, "%q: peers need an address that leads here, so it can't be unspecified", l.at)
		}
	}
	longest := time.Duration(0)
	defaults := [proxy.NumClasses][2]time.Duration{
		proxy.ClassInvite: {4 * time.Second, 90 * time.Second}, proxy.ClassRegister: {time.Second, 8 * time.Second},
		proxy.ClassSubscribe: {time.Second, 8 * time.Second}, proxy.ClassOptions: {time.Second, 4 * time.Second},
		proxy.ClassOther: {time.Second, 8 * time.Second},
	}
	for i, class := range c.classes() {
		key := "class." + proxy.Class(i).String()
		defaultDuration(key+".aim", &class.Aim, defaults[i][0], time.Millisecond)
		defaultDuration(key+".deadline", &class.Deadline, defaults[i][1], class.Aim.Duration)
		longest = max(longest, class.Deadline.Duration)
		if i == int(proxy.ClassInvite) && class.RepeatsDropped.Duration > 0 {
			f.Errorf("sip."+key+".repeats_dropped", "an INVITE may already have rung a phone, so it is never retried")
		}
	}
	defaultDuration("dialog_for", &c.DialogFor, 24*time.Hour, time.Minute)
	defaultDuration("retry_after", &c.RetryAfter, 5*time.Second, time.Second)
	defaultDuration("ping", &c.Ping, 200*time.Millisecond, 10*time.Millisecond)
	defaultDuration("drain", &c.Drain, 10*time.Second, 0)
	defaultDuration("limits.idle", &c.Limits.Idle, max(5*time.Minute, longest), longest)
	defaultCount("limits.transactions", &c.Limits.Transactions, 20_000, 4)
	defaultCount("limits.per_source", &c.Limits.PerSource, 5_000, 1)
	defaultCount("limits.connections", &c.Limits.Connections, 512, 1)
	defaultCount("limits.message", &c.Limits.Message.Bytes, 16<<10, 1<<10)
	defaultCount("instances", &c.Instances, 1, 1)
	if most := 60 << 10; c.Limits.Message.Bytes > most {
		f.Errorf("sip.limits.message", "%d bytes, a datagram holds no more than %d", c.Limits.Message.Bytes, most)
	}
	if c.Upstream.Transport == "" {
		c.Upstream.Transport = "udp"
	}
	switch transport, ok := transportByName[c.Upstream.Transport]; {
	case !ok:
		f.Errorf("sip.upstream.transport", "%q is none of udp, tcp and tls", c.Upstream.Transport)
	case transport == proxy.UDP && c.UDP == "":
		f.Errorf("sip.upstream.transport", "udp: servers are reached from the udp listener, and there is none")
	}
	switch {
	case c.Model == "" && len(c.Servers) == 0:
		f.Errorf("sip", "no servers: name their model in discovery's list, or list them as [[sip.server]]")
	case c.Model != "" && len(c.Servers) > 0:
		f.Errorf("sip.model", "servers come from discovery's list or from [[sip.server]], not from both")
	}
	serverlist.Check(f, "sip.server", c.Servers)
	if _, err := c.signer(); err != nil {
		f.Errorf("sip.token_key", "%v", err)
	}
	if _, err := c.serverTLS(); err != nil {
		f.Errorf("sip.tls", "%v", err)
	}
	if _, err := c.clientTLS(); err != nil {
		f.Errorf("sip.upstream", "%v", err)
	}
}

var transportByName = map[string]proxy.Transport{"udp": proxy.UDP, "tcp": proxy.TCP, "tls": proxy.TLS}

// signer makes a Signer from the token key file.
func (c *Config) signer() (*token.Signer, error) {
	if c.TokenKey == "" {
		return nil, errors.New("none given: a file of 32 random bytes or more, the same at all instances, as with head -c 32 /dev/urandom")
	}
	key, err := readSecret(c.TokenKey)
	if err != nil {
		return nil, err
	}
	return token.New(key)
}

// maxSecretBytes limits the size of a key file.
const maxSecretBytes = 64 << 10

func readSecret(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxSecretBytes+1))
	if err == nil && len(text) > maxSecretBytes {
		err = fmt.Errorf("%s: over %d bytes", path, maxSecretBytes)
	}
	return text, err
}

// serverTLS returns the TLS listener's configuration, or nil if there is none. It allows TLS
// 1.2, since not all phones support TLS 1.3.
func (c *Config) serverTLS() (*tls.Config, error) {
	if c.TLS == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(c.Cert, c.Key)
	if err != nil {
		return nil, fmt.Errorf("cert and key: %w", err)
	}
	t := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}}
	if c.ClientCA != "" {
		t.ClientAuth = tls.RequireAndVerifyClientCert
		t.ClientCAs, err = tlsfile.LoadCertPool(c.ClientCA)
	}
	return t, err
}

// clientTLS returns the TLS configuration for connections to servers, or nil if they don't
// use TLS.
func (c *Config) clientTLS() (*tls.Config, error) {
	if c.Upstream.Transport != "tls" {
		return nil, nil
	}
	return tlsfile.ClientConfig(c.Upstream.CA, c.Upstream.Name, c.Upstream.Cert, c.Upstream.Key)
}

// latencyGrain is the difference in signalling time below which servers count as equally fast,
// since callers don't notice it. A server that has sent nothing four grains after its INVITE
// counts as silent, although a lost datagram is retransmitted only after T1, 500 ms.
const latencyGrain = 100 * time.Millisecond

// settings returns the pool's settings for the decision module.
func (c *Config) settings() policy.Settings {
	s := policy.Defaults()
	s.Nodes = c.Instances
	s.Limits = policy.Limits{MaxAttempts: 3, Cancel: true, MaxRetryAfter: c.RetryAfter.Duration}
	worth := [proxy.NumClasses]float64{proxy.ClassInvite: 10, proxy.ClassRegister: 2, proxy.ClassSubscribe: 1, proxy.ClassOptions: 1, proxy.ClassOther: 1}
	for i, class := range c.classes() {
		p := policy.Class{
			Aim: class.Aim.Duration, Deadline: class.Deadline.Duration, Worth: worth[i], LateWorth: 0.5, LatencyFloor: latencyGrain,
			Effect: policy.Unsafe, Parked: i == int(proxy.ClassInvite),
		}
		switch {
		case i == int(proxy.ClassOptions):
			p.Effect = policy.Safe
		case class.RepeatsDropped.Duration > 0:
			p.Effect, p.Scope, p.Window = policy.Keyed, policy.ScopeAll, class.RepeatsDropped.Duration
		}
		s.Classes = append(s.Classes, p)
	}
	return s
}
