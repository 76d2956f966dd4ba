package sip

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"otterstep/internal/listed"
	"otterstep/internal/sip/proxy"
	"otterstep/internal/sip/token"
	"otterstep/internal/tlsfile"
	"otterstep/internal/tomlfile"
	"otterstep/policy"
)

// Config is the table [sip] of the operator's file. Without a listener the front is off.
type Config struct {
	UDP      string `toml:"udp"` // listeners, host:port, the host an address; "" for none
	TCP      string `toml:"tcp"`
	TLS      string `toml:"tls"`
	Cert     string `toml:"cert"`      // of the TLS listener: files in PEM
	Key      string `toml:"key"`       //
	ClientCA string `toml:"client_ca"` // callers must show a certificate of it; "" for none

	TokenKey   string            `toml:"token_key"`   // a file of 32 bytes or more, the same at all instances
	DialogFor  tomlfile.Duration `toml:"dialog_for"`  // how long a dialog is routed
	Model      string            `toml:"model"`       // servers are those of this model in discovery's list
	Servers    []listed.Server   `toml:"server"`      // or these
	Instances  int               `toml:"instances"`   // that share the servers, this one included
	RetryAfter tomlfile.Duration `toml:"retry_after"` // least advice to callers refused; at most twice that is given
	Ping       tomlfile.Duration `toml:"ping"`        // how often it is looked whether a server is due its trial, an OPTIONS
	Drain      tomlfile.Duration `toml:"drain"`       // a node told to end waits so long for calls being set up

	Upstream struct {
		Transport string `toml:"transport"` // to the servers: udp, tcp or tls
		CA        string `toml:"ca"`        // their certificates are of it
		Name      string `toml:"name"`      // and are for this name
		Cert      string `toml:"cert"`      // shown to them, if any
		Key       string `toml:"key"`
	} `toml:"upstream"`

	Limits struct {
		Transactions int               `toml:"transactions"`
		PerSource    int               `toml:"per_source"`
		Connections  int               `toml:"connections"`
		Message      tomlfile.Size     `toml:"message"`
		Idle         tomlfile.Duration `toml:"idle"` // a connection without a message for so long is closed
	} `toml:"limits"`

	Class struct {
		Invite    Class `toml:"invite"`
		Register  Class `toml:"register"`
		Subscribe Class `toml:"subscribe"`
		Options   Class `toml:"options"`
		Other     Class `toml:"other"`
	} `toml:"class"`
}

// Class says what one kind of request may take.
type Class struct {
	Aim      tomlfile.Duration `toml:"aim"`      // of an INVITE: until the server rings
	Deadline tomlfile.Duration `toml:"deadline"` // the final response is given by then
	// Servers drop a repeat of the same Call-ID and CSeq for so long, so that it may be
	// tried again. 0: they don't.
	RepeatsDropped tomlfile.Duration `toml:"repeats_dropped"`
}

// On tells whether the operator has switched the front on.
func (c *Config) On() bool { return c.UDP != "" || c.TCP != "" || c.TLS != "" }

// classes gives the classes in the order of proxy.Class.
func (c *Config) classes() [proxy.Classes]*Class {
	return [proxy.Classes]*Class{&c.Class.Invite, &c.Class.Register, &c.Class.Subscribe, &c.Class.Options, &c.Class.Other}
}

// Check puts in defaults and notes all that is wrong at f.
func (c *Config) Check(f *tomlfile.File) {
	if !c.On() {
		if c.Model != "" || len(c.Servers) > 0 || c.TokenKey != "" {
			f.Bad("sip", "no listener: one of udp, tcp and tls is needed to switch it on")
		}
		return
	}
	least := func(key string, d *tomlfile.Duration, value, least time.Duration) {
		if d.Duration == 0 {
			d.Duration = value
		}
		if d.Duration < least {
			f.Bad("sip."+key, "%v, at least %v is needed", d.Duration, least)
		}
	}
	count := func(key string, n *int, value, least int) {
		if *n == 0 {
			*n = value
		}
		if *n < least {
			f.Bad("sip."+key, "%d, at least %d are needed", *n, least)
		}
	}
	for _, l := range []struct{ key, at string }{{"udp", c.UDP}, {"tcp", c.TCP}, {"tls", c.TLS}} {
		if l.at == "" {
			continue
		}
		if at, err := netip.ParseAddrPort(l.at); err != nil {
			f.Bad("sip."+l.key, "%q is no address and port, as in \"127.0.0.1:5060\"; there are no name look-ups", l.at)
		} else if at.Addr().IsUnspecified() {
			f.Bad("sip."+l.key, "%q: other elements must be told an address that leads here, so it can't be unspecified", l.at)
		}
	}
	longest := time.Duration(0)
	defaults := [proxy.Classes][2]time.Duration{
		proxy.Calls: {4 * time.Second, 90 * time.Second}, proxy.Registers: {time.Second, 8 * time.Second},
		proxy.Subscribes: {time.Second, 8 * time.Second}, proxy.Pings: {time.Second, 4 * time.Second},
		proxy.Others: {time.Second, 8 * time.Second},
	}
	for i, class := range c.classes() {
		key := "class." + proxy.Class(i).String()
		least(key+".aim", &class.Aim, defaults[i][0], time.Millisecond)
		least(key+".deadline", &class.Deadline, defaults[i][1], class.Aim.Duration)
		longest = max(longest, class.Deadline.Duration)
		if i == int(proxy.Calls) && class.RepeatsDropped.Duration > 0 {
			f.Bad("sip."+key+".repeats_dropped", "an INVITE rings a phone, so it is never repeated")
		}
	}
	least("dialog_for", &c.DialogFor, 24*time.Hour, time.Minute)
	least("retry_after", &c.RetryAfter, 5*time.Second, time.Second)
	least("ping", &c.Ping, 200*time.Millisecond, 10*time.Millisecond)
	least("drain", &c.Drain, 10*time.Second, 0)
	least("limits.idle", &c.Limits.Idle, max(5*time.Minute, longest), longest)
	count("limits.transactions", &c.Limits.Transactions, 20_000, 4)
	count("limits.per_source", &c.Limits.PerSource, 5_000, 1)
	count("limits.connections", &c.Limits.Connections, 512, 1)
	count("limits.message", &c.Limits.Message.Bytes, 16<<10, 1<<10)
	count("instances", &c.Instances, 1, 1)
	if most := 60 << 10; c.Limits.Message.Bytes > most {
		f.Bad("sip.limits.message", "%d bytes, a datagram holds no more than %d", c.Limits.Message.Bytes, most)
	}
	if c.Upstream.Transport == "" {
		c.Upstream.Transport = "udp"
	}
	switch transport, ok := transports[c.Upstream.Transport]; {
	case !ok:
		f.Bad("sip.upstream.transport", "%q is none of udp, tcp and tls", c.Upstream.Transport)
	case transport == proxy.UDP && c.UDP == "":
		f.Bad("sip.upstream.transport", "udp: servers are reached from the udp listener, and there is none")
	}
	switch {
	case c.Model == "" && len(c.Servers) == 0:
		f.Bad("sip", "no servers: name their model in discovery's list, or list them as [[sip.server]]")
	case c.Model != "" && len(c.Servers) > 0:
		f.Bad("sip.model", "servers come from discovery's list or from [[sip.server]], not from both")
	}
	listed.Check(f, "sip.server", c.Servers)
	if _, err := c.sealer(); err != nil {
		f.Bad("sip.token_key", "%v", err)
	}
	if _, err := c.serverTLS(); err != nil {
		f.Bad("sip.tls", "%v", err)
	}
	if _, err := c.clientTLS(); err != nil {
		f.Bad("sip.upstream", "%v", err)
	}
}

var transports = map[string]proxy.Transport{"udp": proxy.UDP, "tcp": proxy.TCP, "tls": proxy.TLS}

// sealer reads the tokens' key.
func (c *Config) sealer() (*token.Signer, error) {
	if c.TokenKey == "" {
		return nil, errors.New("none given: a file of 32 random bytes or more, the same at all instances, as with head -c 32 /dev/urandom")
	}
	key, err := readSecret(c.TokenKey)
	if err != nil {
		return nil, err
	}
	return token.New(key)
}

// secretMost bounds a file that holds a key.
const secretMost = 64 << 10

func readSecret(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, secretMost+1))
	if err == nil && len(text) > secretMost {
		err = fmt.Errorf("%s: over %d bytes", path, secretMost)
	}
	return text, err
}

// serverTLS is what the TLS listener shows and asks for; nil without one. Phones of
// today don't all know TLS 1.3.
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
		t.ClientCAs, err = tlsfile.Pool(c.ClientCA)
	}
	return t, err
}

// clientTLS is how TLS servers are met; nil where they are not.
func (c *Config) clientTLS() (*tls.Config, error) {
	if c.Upstream.Transport != "tls" {
		return nil, nil
	}
	return tlsfile.Client(c.Upstream.CA, c.Upstream.Name, c.Upstream.Cert, c.Upstream.Key)
}

// grain is the signalling time below which servers are alike: a caller notices none of
// it, and a server that has not let hear of itself four grains after its INVITE is
// silent, though a lost datagram is sent again only after T1, 500 ms.
const grain = 100 * time.Millisecond

// settings are the pool's, for its decision module.
func (c *Config) settings() policy.Settings {
	s := policy.Defaults()
	s.Nodes = c.Instances
	s.Limits = policy.Limits{MaxAttempts: 3, Cancel: true, MaxRetryAfter: c.RetryAfter.Duration}
	worth := [proxy.Classes]float64{proxy.Calls: 10, proxy.Registers: 2, proxy.Subscribes: 1, proxy.Pings: 1, proxy.Others: 1}
	for i, class := range c.classes() {
		p := policy.Class{
			Aim: class.Aim.Duration, Deadline: class.Deadline.Duration, Worth: worth[i], LateWorth: 0.5, Grain: grain,
			Effect: policy.Unsafe, Parked: i == int(proxy.Calls),
		}
		switch {
		case i == int(proxy.Pings):
			p.Effect = policy.Safe
		case class.RepeatsDropped.Duration > 0:
			p.Effect, p.Scope, p.Window = policy.Keyed, policy.ScopeAll, class.RepeatsDropped.Duration
		}
		s.Classes = append(s.Classes, p)
	}
	return s
}
