package web

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"otterstep/internal/serverlist"
	"otterstep/internal/tlsfile"
	"otterstep/internal/tomlfile"
	"otterstep/internal/web/classify"
	"otterstep/policy"
)

// Config is a [[web]] table of the operator's file: one listener with one pool of servers.
type Config struct {
	Name   string `toml:"name"`   // in Via, inspect and the log; defaults to "web" and a number
	Listen string `toml:"listen"` // address:port; host names are not resolved

	Cert     []Cert `toml:"cert"`      // TLS certificates, selected by server name; without any, plain text
	ClientCA string `toml:"client_ca"` // clients must present a certificate issued by this CA

	Servers   []serverlist.Server `toml:"server"`
	Instances int                 `toml:"instances"` // number of nodes that share the servers, including this one

	Upstream struct {
		TLS         bool              `toml:"tls"`
		HTTP2       bool              `toml:"http2"` // with prior knowledge, or by ALPN with TLS
		CA          string            `toml:"ca"`
		Name        string            `toml:"name"`
		Cert        string            `toml:"cert"`
		Key         string            `toml:"key"`
		Connect     tomlfile.Duration `toml:"connect"`     // time limit for establishing a connection
		Idle        tomlfile.Duration `toml:"idle"`        // idle time after which servers close connections
		Connections int               `toml:"connections"` // maximum to all servers together
	} `toml:"upstream"`

	Class []Class `toml:"class"` // the first is for requests that match no rule
	Rule  []Rule  `toml:"rule"`

	TenantBy string   `toml:"tenant_by"`
	Tenant   []Tenant `toml:"tenant"`
	KeyBy    string   `toml:"key_by"`

	Attempts   int               `toml:"attempts"`    // maximum per request
	RetryAfter tomlfile.Duration `toml:"retry_after"` // upper limit of Retry-After
	Trust      []string          `toml:"trust"`       // prefixes whose Forwarded and X-Forwarded fields are kept
	Drain      tomlfile.Duration `toml:"drain"`       // open streams and tunnels may continue for this long

	Limits struct {
		Connections int               `toml:"connections"` // client connections
		Streams     int               `toml:"streams"`     // per HTTP/2 connection of a client
		Header      tomlfile.Size     `toml:"header"`      // size of a request's head, and of an answer's
		Fields      int               `toml:"fields"`      // in a request's head
		Kept        tomlfile.Size     `toml:"kept"`        // bodies up to this size are buffered for retries
		KeptAll     tomlfile.Size     `toml:"kept_all"`    // buffered for all requests together
		Read        tomlfile.Duration `toml:"read"`        // time limit for a request's head, and for each read of its body
		BodyRate    tomlfile.Size     `toml:"body_rate"`   // a body that takes longer than its class's deadline must come at so many bytes a second
		Idle        tomlfile.Duration `toml:"idle"`        // time limit for a client connection without a request
		Stall       tomlfile.Duration `toml:"stall"`       // time limit for a write to a client or a server, and for a read of an answer that has begun
		Tunnel      tomlfile.Duration `toml:"tunnel"`      // maximum lifetime of a tunnel
		Tunnels     int               `toml:"tunnels"`
	} `toml:"limits"`
}

// Cert names the PEM files of a certificate and its key.
type Cert struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Class says what one kind of request may take.
type Class struct {
	Name     string            `toml:"name"`
	Aim      tomlfile.Duration `toml:"aim"`      // until the head of the answer arrives
	Deadline tomlfile.Duration `toml:"deadline"` // the client gets the head of an answer by then, counted from its request's last byte, or an error from the node
	Worth    float64           `toml:"worth"`
	// RepeatsDropped is how long servers drop repeats of an Idempotency-Key; 0: they do not.
	RepeatsDropped tomlfile.Duration `toml:"repeats_dropped"`
}

// Rule assigns a class to requests that match all of its fields; see classify.Rule.
type Rule struct {
	Host    string   `toml:"host"`
	Path    string   `toml:"path"`
	Methods []string `toml:"methods"`
	Header  string   `toml:"header"`
	Value   string   `toml:"value"`
	Class   string   `toml:"class"`
}

// Tenant is a client group with a quota.
type Tenant struct {
	Name  string  `toml:"name"`
	Quota float64 `toml:"quota"` // requests per second over all instances; 0: no limit
}

// effectCount is the number of effects; the decision module has one class per configured
// class and effect.
const effectCount = int(policy.Unsafe) + 1

// CheckAll sets defaults and reports every invalid setting to f.
func CheckAll(f *tomlfile.File, all []Config) {
	names := map[string]bool{}
	for i := range all {
		c := &all[i]
		if c.Name == "" {
			c.Name = fmt.Sprintf("web%d", i+1)
		}
		key := fmt.Sprintf("web[%d]", i+1)
		if names[c.Name] || strings.ContainsAny(c.Name, " ,()\t\r\n\"") {
			f.Errorf(key+".name", "%q: the name must be unique, without whitespace, commas, parentheses and quotes", c.Name)
		}
		names[c.Name] = true
		c.check(f, key)
	}
}

func (c *Config) check(f *tomlfile.File, key string) {
	minDuration := func(name string, d *tomlfile.Duration, value, least time.Duration) {
		if d.Duration == 0 {
			d.Duration = value
		}
		if d.Duration < least {
			f.Errorf(key+"."+name, "%v is below the minimum of %v", d.Duration, least)
		}
	}
	intRange := func(name string, n *int, value, most int) {
		if *n == 0 {
			*n = value
		}
		if *n < 1 || *n > most {
			f.Errorf(key+"."+name, "%d is not in the range from 1 to %d", *n, most)
		}
	}
	sizeRange := func(name string, s *tomlfile.Size, value, least, most int) {
		if s.Bytes == 0 {
			s.Bytes = value
		}
		if s.Bytes < least || s.Bytes > most {
			f.Errorf(key+"."+name, "%d bytes is not in the range from %d to %d", s.Bytes, least, most)
		}
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		f.Errorf(key+".listen", "%q is not an IP address and port such as \"127.0.0.1:8080\"; host names are not resolved", c.Listen)
	}
	if len(c.Servers) == 0 {
		f.Errorf(key, "no servers: add [[web.server]] tables")
	}
	serverlist.Check(f, key+".server", c.Servers)
	intRange("instances", &c.Instances, 1, 10_000)
	intRange("attempts", &c.Attempts, 3, 16)
	minDuration("retry_after", &c.RetryAfter, time.Second, time.Millisecond)
	minDuration("drain", &c.Drain, 10*time.Second, 500*time.Millisecond)
	minDuration("upstream.connect", &c.Upstream.Connect, 250*time.Millisecond, time.Millisecond)
	minDuration("upstream.idle", &c.Upstream.Idle, 15*time.Second, 100*time.Millisecond)
	intRange("upstream.connections", &c.Upstream.Connections, 1024, 1_000_000)
	intRange("limits.connections", &c.Limits.Connections, 4096, 1_000_000)
	intRange("limits.streams", &c.Limits.Streams, 100, 10_000)
	intRange("limits.tunnels", &c.Limits.Tunnels, 1000, 1_000_000)
	sizeRange("limits.header", &c.Limits.Header, 32<<10, 1<<10, 1<<20)
	intRange("limits.fields", &c.Limits.Fields, 100, 10_000)
	sizeRange("limits.kept", &c.Limits.Kept, 64<<10, 0, 16<<20)
	sizeRange("limits.kept_all", &c.Limits.KeptAll, 64<<20, c.Limits.Kept.Bytes, 1<<40)
	minDuration("limits.read", &c.Limits.Read, 10*time.Second, 100*time.Millisecond)
	sizeRange("limits.body_rate", &c.Limits.BodyRate, 32<<10, 1, 1<<30)
	minDuration("limits.idle", &c.Limits.Idle, time.Minute, 100*time.Millisecond)
	minDuration("limits.stall", &c.Limits.Stall, time.Minute, 100*time.Millisecond)
	minDuration("limits.tunnel", &c.Limits.Tunnel, 24*time.Hour, time.Second)
	if len(c.Class) == 0 {
		c.Class = []Class{{Name: "default"}}
	}
	for i := range c.Class {
		k := &c.Class[i]
		at := fmt.Sprintf("class[%d]", i+1)
		minDuration(at+".aim", &k.Aim, time.Second, time.Millisecond)
		minDuration(at+".deadline", &k.Deadline, 10*k.Aim.Duration, k.Aim.Duration)
		if k.Worth == 0 {
			k.Worth = 1
		}
		if k.Worth < 0 {
			f.Errorf(key+"."+at+".worth", "%v is negative", k.Worth)
		}
		if k.Name == "" || c.classIndex(k.Name) != i {
			f.Errorf(key+"."+at+".name", "%q: the class needs a unique name", k.Name)
		}
	}
	if _, err := c.newClassifier(); err != nil {
		for _, err := range unwrapJoined(err) {
			f.Errorf(key, "%v", err)
		}
	}
	if _, err := c.trustedPrefixes(); err != nil {
		f.Errorf(key+".trust", "%v", err)
	}
	if _, err := c.upstreamTLS(); err != nil {
		f.Errorf(key+".upstream", "%v", err)
	}
	if len(c.Cert) > 0 {
		if _, err := loadCerts(c); err != nil {
			f.Errorf(key+".cert", "%v", err)
		}
	} else if c.ClientCA != "" {
		f.Errorf(key+".client_ca", "requires a certificate in [[web.cert]]")
	}
}

func unwrapJoined(err error) []error {
	if all, ok := err.(interface{ Unwrap() []error }); ok {
		return all.Unwrap()
	}
	return []error{err}
}

// classIndex returns the index of the class with this name; -1 for none.
func (c *Config) classIndex(name string) int {
	for i := range c.Class {
		if c.Class[i].Name == name {
			return i
		}
	}
	return -1
}

func (c *Config) newClassifier() (*classify.Classifier, error) {
	o := classify.Config{TenantBy: c.TenantBy, KeyBy: c.KeyBy}
	for _, k := range c.Class {
		o.Classes = append(o.Classes, classify.Class{Name: k.Name, DropsRepeats: k.RepeatsDropped.Duration > 0})
	}
	for _, r := range c.Rule {
		o.Rules = append(o.Rules, classify.Rule{Host: r.Host, Path: r.Path, Methods: r.Methods, Header: r.Header, Value: r.Value, Class: c.classIndex(r.Class)})
	}
	for _, t := range c.Tenant {
		o.Tenants = append(o.Tenants, t.Name)
	}
	return classify.New(o)
}

// trustedPrefixes parses the prefixes of Trust.
func (c *Config) trustedPrefixes() (all []netip.Prefix, err error) {
	for _, text := range c.Trust {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, fmt.Errorf("%q is not an IP prefix such as \"10.0.0.0/8\"", text)
		}
		all = append(all, p)
	}
	return all, nil
}

// upstreamTLS returns the TLS configuration for connections to servers; nil without TLS.
func (c *Config) upstreamTLS() (*tls.Config, error) {
	if !c.Upstream.TLS {
		if c.Upstream.CA != "" || c.Upstream.Cert != "" {
			return nil, errors.New("ca, name and cert require tls = true")
		}
		return nil, nil
	}
	t, err := tlsfile.ClientConfig(c.Upstream.CA, c.Upstream.Name, c.Upstream.Cert, c.Upstream.Key)
	if err == nil && c.Upstream.HTTP2 {
		t.NextProtos = []string{"h2"}
	}
	return t, err
}

// policySettings returns the decision module's settings for the pool. Latency counts up to
// the answer's head, since the duration of a body depends on the client as much as on the
// server.
func (c *Config) policySettings() policy.Settings {
	s := policy.Defaults()
	s.Nodes = c.Instances
	s.Limits = policy.Limits{MaxAttempts: c.Attempts, Cancel: true, MaxRetryAfter: c.RetryAfter.Duration}
	for _, k := range c.Class {
		for effect := range effectCount {
			s.Classes = append(s.Classes, policy.Class{
				Aim: k.Aim.Duration, Deadline: k.Deadline.Duration, Worth: k.Worth, LateWorth: 0.5,
				Effect: policy.Effect(effect), Scope: policy.ScopeAll, Window: k.RepeatsDropped.Duration, Parked: true,
			})
		}
	}
	for _, t := range c.Tenant {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerS: t.Quota})
	}
	s.Tenants = append(s.Tenants, policy.Tenant{}) // for requests of no configured tenant
	return s
}
