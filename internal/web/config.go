package web

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"otterstep/internal/listed"
	"otterstep/internal/tlsfile"
	"otterstep/internal/tomlfile"
	"otterstep/internal/web/classify"
	"otterstep/policy"
)

// Config is a table [[web]] of the operator's file: one listener in front of one pool.
type Config struct {
	Name   string `toml:"name"`   // in Via, inspect and the log; "web" and a number if not given
	Listen string `toml:"listen"` // host:port, the host an address

	Cert     []Cert `toml:"cert"`      // TLS with one of these, chosen by the name asked for; none: plain
	ClientCA string `toml:"client_ca"` // clients must show a certificate of it

	Servers   []listed.Server `toml:"server"`
	Instances int             `toml:"instances"` // that share the servers, this one included

	Upstream struct {
		TLS         bool              `toml:"tls"`
		HTTP2       bool              `toml:"http2"` // by prior knowledge, or ALPN with TLS
		CA          string            `toml:"ca"`
		Name        string            `toml:"name"`
		Cert        string            `toml:"cert"`
		Key         string            `toml:"key"`
		Connect     tomlfile.Duration `toml:"connect"`     // a connection may take to come up
		Idle        tomlfile.Duration `toml:"idle"`        // servers close idle connections after so long
		Connections int               `toml:"connections"` // to all servers
	} `toml:"upstream"`

	Class []Class `toml:"class"` // the first is for what no rule fits
	Rule  []Rule  `toml:"rule"`

	TenantBy string   `toml:"tenant_by"`
	Tenant   []Tenant `toml:"tenant"`
	KeyBy    string   `toml:"key_by"`

	Attempts   int               `toml:"attempts"`    // of a request at most
	RetryAfter tomlfile.Duration `toml:"retry_after"` // the longest advice
	Trust      []string          `toml:"trust"`       // prefixes whose Forwarded and X-Forwarded fields are believed
	Drain      tomlfile.Duration `toml:"drain"`       // streams and tunnels that are open may go on for so long

	Limits struct {
		Connections int               `toml:"connections"` // of clients
		Streams     int               `toml:"streams"`     // of a client's HTTP/2 connection
		Header      tomlfile.Size     `toml:"header"`      // of a request, and of an answer
		Kept        tomlfile.Size     `toml:"kept"`        // bodies up to this are kept for further attempts
		KeptAll     tomlfile.Size     `toml:"kept_all"`    // of all requests together
		Read        tomlfile.Duration `toml:"read"`        // a client may take so long over a head, and between parts of a body
		Idle        tomlfile.Duration `toml:"idle"`        // a client's connection without a request
		Stall       tomlfile.Duration `toml:"stall"`       // a client that takes nothing, or a server that sends nothing of a begun answer
		Tunnel      tomlfile.Duration `toml:"tunnel"`      // a tunnel lasts at most
		Tunnels     int               `toml:"tunnels"`
	} `toml:"limits"`
}

// Cert is a certificate with its key, files in PEM.
type Cert struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Class says what one kind of request may take.
type Class struct {
	Name     string            `toml:"name"`
	Aim      tomlfile.Duration `toml:"aim"`      // until the head of the answer
	Deadline tomlfile.Duration `toml:"deadline"` // the head of the answer is there by then, or the node's own answer
	Worth    float64           `toml:"worth"`
	// RepeatsDropped is how long servers drop repeats of an Idempotency-Key; 0: they don't.
	RepeatsDropped tomlfile.Duration `toml:"repeats_dropped"`
}

// Rule gives requests that fit all of it a class; see classify.Rule.
type Rule struct {
	Host    string   `toml:"host"`
	Path    string   `toml:"path"`
	Methods []string `toml:"methods"`
	Header  string   `toml:"header"`
	Value   string   `toml:"value"`
	Class   string   `toml:"class"`
}

// Tenant is a party with a share.
type Tenant struct {
	Name  string  `toml:"name"`
	Quota float64 `toml:"quota"` // requests a second, over all instances; 0: no limit
}

// effects are those that a class is split into for the decision module.
const effects = int(policy.Unsafe) + 1

// CheckAll puts in defaults and notes all that is wrong at f.
func CheckAll(f *tomlfile.File, all []Config) {
	names := map[string]bool{}
	for i := range all {
		c := &all[i]
		if c.Name == "" {
			c.Name = fmt.Sprintf("web%d", i+1)
		}
		key := fmt.Sprintf("web[%d]", i+1)
		if names[c.Name] || strings.ContainsAny(c.Name, " ,()\t\r\n\"") {
			f.Bad(key+".name", "%q: each needs a name of its own, without blanks, commas and brackets", c.Name)
		}
		names[c.Name] = true
		c.check(f, key)
	}
}

func (c *Config) check(f *tomlfile.File, key string) {
	least := func(name string, d *tomlfile.Duration, value, least time.Duration) {
		if d.Duration == 0 {
			d.Duration = value
		}
		if d.Duration < least {
			f.Bad(key+"."+name, "%v, at least %v is needed", d.Duration, least)
		}
	}
	count := func(name string, n *int, value, most int) {
		if *n == 0 {
			*n = value
		}
		if *n < 1 || *n > most {
			f.Bad(key+"."+name, "%d is not 1 to %d", *n, most)
		}
	}
	size := func(name string, s *tomlfile.Size, value, least, most int) {
		if s.Bytes == 0 {
			s.Bytes = value
		}
		if s.Bytes < least || s.Bytes > most {
			f.Bad(key+"."+name, "%d bytes, %d to %d are possible", s.Bytes, least, most)
		}
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		f.Bad(key+".listen", "%q is no address and port, as in \"127.0.0.1:8080\"; there are no name look-ups", c.Listen)
	}
	if len(c.Servers) == 0 {
		f.Bad(key, "no servers: list them as [[web.server]]")
	}
	listed.Check(f, key+".server", c.Servers)
	count("instances", &c.Instances, 1, 10_000)
	count("attempts", &c.Attempts, 3, 16)
	least("retry_after", &c.RetryAfter, time.Second, time.Millisecond)
	least("drain", &c.Drain, 10*time.Second, 500*time.Millisecond)
	least("upstream.connect", &c.Upstream.Connect, 250*time.Millisecond, time.Millisecond)
	least("upstream.idle", &c.Upstream.Idle, 15*time.Second, 100*time.Millisecond)
	count("upstream.connections", &c.Upstream.Connections, 1024, 1_000_000)
	count("limits.connections", &c.Limits.Connections, 4096, 1_000_000)
	count("limits.streams", &c.Limits.Streams, 100, 10_000)
	count("limits.tunnels", &c.Limits.Tunnels, 1000, 1_000_000)
	size("limits.header", &c.Limits.Header, 32<<10, 1<<10, 1<<20)
	size("limits.kept", &c.Limits.Kept, 64<<10, 0, 16<<20)
	size("limits.kept_all", &c.Limits.KeptAll, 64<<20, c.Limits.Kept.Bytes, 1<<40)
	least("limits.read", &c.Limits.Read, 10*time.Second, 100*time.Millisecond)
	least("limits.idle", &c.Limits.Idle, time.Minute, 100*time.Millisecond)
	least("limits.stall", &c.Limits.Stall, time.Minute, 100*time.Millisecond)
	least("limits.tunnel", &c.Limits.Tunnel, 24*time.Hour, time.Second)
	if len(c.Class) == 0 {
		c.Class = []Class{{Name: "default"}}
	}
	for i := range c.Class {
		k := &c.Class[i]
		at := fmt.Sprintf("class[%d]", i+1)
		least(at+".aim", &k.Aim, time.Second, time.Millisecond)
		least(at+".deadline", &k.Deadline, 10*k.Aim.Duration, k.Aim.Duration)
		if k.Worth == 0 {
			k.Worth = 1
		}
		if k.Worth < 0 {
			f.Bad(key+"."+at+".worth", "%v is below 0", k.Worth)
		}
		if k.Name == "" || c.class(k.Name) != i {
			f.Bad(key+"."+at+".name", "%q: each class needs a name of its own", k.Name)
		}
	}
	if _, err := c.classifier(); err != nil {
		for _, err := range unjoin(err) {
			f.Bad(key, "%v", err)
		}
	}
	if _, err := c.trusted(); err != nil {
		f.Bad(key+".trust", "%v", err)
	}
	if _, err := c.clientTLS(); err != nil {
		f.Bad(key+".upstream", "%v", err)
	}
	if len(c.Cert) > 0 {
		if _, err := loadCerts(c); err != nil {
			f.Bad(key+".cert", "%v", err)
		}
	} else if c.ClientCA != "" {
		f.Bad(key+".client_ca", "only with a certificate, [[web.cert]]")
	}
}

func unjoin(err error) []error {
	if all, ok := err.(interface{ Unwrap() []error }); ok {
		return all.Unwrap()
	}
	return []error{err}
}

// class gives the index of a class; -1 for none.
func (c *Config) class(name string) int {
	for i := range c.Class {
		if c.Class[i].Name == name {
			return i
		}
	}
	return -1
}

func (c *Config) classifier() (*classify.Classifier, error) {
	o := classify.Config{TenantBy: c.TenantBy, KeyBy: c.KeyBy}
	for _, k := range c.Class {
		o.Classes = append(o.Classes, classify.Class{Name: k.Name, DropsRepeats: k.RepeatsDropped.Duration > 0})
	}
	for _, r := range c.Rule {
		o.Rules = append(o.Rules, classify.Rule{Host: r.Host, Path: r.Path, Methods: r.Methods, Header: r.Header, Value: r.Value, Class: c.class(r.Class)})
	}
	for _, t := range c.Tenant {
		o.Tenants = append(o.Tenants, t.Name)
	}
	return classify.New(o)
}

// trusted gives the prefixes whose word of others is believed.
func (c *Config) trusted() (all []netip.Prefix, err error) {
	for _, text := range c.Trust {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, fmt.Errorf("%q is no prefix, as in \"10.0.0.0/8\"", text)
		}
		all = append(all, p)
	}
	return all, nil
}

// clientTLS is how TLS servers are met; nil where they are not.
func (c *Config) clientTLS() (*tls.Config, error) {
	if !c.Upstream.TLS {
		if c.Upstream.CA != "" || c.Upstream.Cert != "" {
			return nil, errors.New("ca, name and cert are for tls = true")
		}
		return nil, nil
	}
	t, err := tlsfile.Client(c.Upstream.CA, c.Upstream.Name, c.Upstream.Cert, c.Upstream.Key)
	if err == nil && c.Upstream.HTTP2 {
		t.NextProtos = []string{"h2"}
	}
	return t, err
}

// settings are the pool's, for its decision module. A class is judged by the time until its
// answer's head: how long a body takes is the client's doing as often as the server's.
func (c *Config) settings() policy.Settings {
	s := policy.Defaults()
	s.Nodes = c.Instances
	s.Limits = policy.Limits{MaxAttempts: c.Attempts, Cancel: true, MaxRetryAfter: c.RetryAfter.Duration}
	for _, k := range c.Class {
		for effect := range effects {
			s.Classes = append(s.Classes, policy.Class{
				Aim: k.Aim.Duration, Deadline: k.Deadline.Duration, Worth: k.Worth, LateWorth: 0.5,
				Effect: policy.Effect(effect), Scope: policy.ScopeAll, Window: k.RepeatsDropped.Duration, Parked: true,
			})
		}
	}
	for _, t := range c.Tenant {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerS: t.Quota})
	}
	s.Tenants = append(s.Tenants, policy.Tenant{}) // whoever is none of them
	return s
}
