// Package classify derives from an HTTP request what the decision module needs: its class,
// its effect when repeated, its tenant and its key. It does no I/O.
package classify

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"otterstep/policy"
)

// Rule assigns a class to requests that match all of its fields. An empty field matches any.
type Rule struct {
	Host    string   // "shop.example", or "*.example" for all names below it
	Path    string   // "/api/" is a prefix, "/users/*/orders" matches exactly; "*" is any one segment
	Methods []string // upper case
	Header  string   // a field that must be present,
	Value   string   // with this value unless Value is empty
	Class   int
}

// Class is a class from the configuration.
type Class struct {
	Name string
	// DropsRepeats tells that servers drop repeats of an Idempotency-Key.
	DropsRepeats bool
}

// Config configures a Classifier.
type Config struct {
	Classes  []Class // the first is for requests that match no rule
	Rules    []Rule  // the first match applies
	Tenants  []string
	TenantBy string // "", "host", "certificate", "header:NAME" or "source:BITS" (prefix of IPv4; IPv6 takes 64)
	KeyBy    string // "", "path" or "header:NAME"
}

// Request holds the parts of a request that are examined.
type Request struct {
	Method   string
	Host     string // with or without a port
	Path     string // escaped, as received
	Header   http.Header
	Source   netip.Addr
	CertName string // common name of the client's certificate; "" without one
}

// Result is the classification of a request.
type Result struct {
	Class  int // index in Config.Classes
	Rule   int // index of the matching rule; -1 for none
	Effect policy.Effect
	Tenant int // index in Config.Tenants; len(Config.Tenants) for any other
	Key    uint64
}

// Classifier classifies requests. It is stateless and safe for concurrent use.
type Classifier struct {
	opt    Config
	rules  []rule
	tenant func(Request, string) string // from the request and its canonical host
	key    func(Request) string
}

type rule struct {
	Rule
	segments []string
	exact    bool
}

// New validates the configuration; errors name the invalid key, as in "rule[2].path".
func New(c Config) (*Classifier, error) {
	k := &Classifier{opt: c}
	var errs []error
	bad := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	for i, r := range c.Rules {
		compiled := rule{Rule: r}
		if r.Path != "" {
			var err error
			if compiled.segments, err = Segments(r.Path); err != nil {
				bad("rule[%d].path: %w", i+1, err)
			}
			compiled.exact = !strings.HasSuffix(r.Path, "/")
		}
		compiled.Host = strings.ToLower(r.Host)
		if strings.ContainsAny(compiled.Host, "/:") || strings.Contains(strings.TrimPrefix(compiled.Host, "*."), "*") {
			bad("rule[%d].host: %q is neither a host name nor \"*.\" followed by one", i+1, r.Host)
		}
		if r.Class < 0 || r.Class >= len(c.Classes) {
			bad("rule[%d].class: no class of that name", i+1)
		}
		if r.Value != "" && r.Header == "" {
			bad("rule[%d].value: set without header", i+1)
		}
		k.rules = append(k.rules, compiled)
	}
	var err error
	if k.tenant, err = newTenantFunc(c.TenantBy); err != nil {
		bad("tenant_by: %w", err)
	}
	if k.key, err = newKeyFunc(c.KeyBy); err != nil {
		bad("key_by: %w", err)
	}
	return k, errors.Join(errs...)
}

func newTenantFunc(spec string) (func(Request, string) string, error) {
	kind, rest, _ := strings.Cut(spec, ":")
	switch {
	case spec == "":
		return nil, nil
	case spec == "host":
		return func(_ Request, host string) string { return host }, nil
	case spec == "certificate":
		return func(r Request, _ string) string { return r.CertName }, nil
	case kind == "header" && rest != "":
		return func(r Request, _ string) string { return r.Header.Get(rest) }, nil
	case kind == "source":
		bits, err := strconv.Atoi(rest)
		if err != nil || bits < 1 || bits > 32 {
			return nil, fmt.Errorf("%q: BITS in source:BITS must be 1 to 32", spec)
		}
		return func(r Request, _ string) string {
			prefixBits := bits
			if !r.Source.Is4() {
				prefixBits = 64
			}
			p, err := r.Source.Prefix(prefixBits)
			if err != nil {
				return ""
			}
			return p.String()
		}, nil
	}
	return nil, fmt.Errorf("%q is not one of host, certificate, header:NAME and source:BITS", spec)
}

func newKeyFunc(spec string) (func(Request) string, error) {
	kind, rest, _ := strings.Cut(spec, ":")
	switch {
	case spec == "":
		return nil, nil
	case spec == "path":
		return func(r Request) string { return r.Path }, nil
	case kind == "header" && rest != "":
		return func(r Request) string { return r.Header.Get(rest) }, nil
	}
	return nil, fmt.Errorf("%q is not one of path and header:NAME", spec)
}

// CanonicalHost returns host in the form used for comparison: without port and trailing
// dot, in lower case.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(strings.Trim(host, "[]"), "."))
}

// Classify classifies a request. A path that servers may interpret differently is an error,
// whether or not any rule has a path; see Segments.
func (k *Classifier) Classify(r Request) (Result, error) {
	var segments []string
	if r.Path != "*" || r.Method != http.MethodOptions {
		var err error
		if segments, err = Segments(r.Path); err != nil {
			return Result{}, err
		}
	}
	host := CanonicalHost(r.Host)
	result := Result{Rule: -1, Tenant: len(k.opt.Tenants)}
	for i := range k.rules {
		if k.rules[i].matches(r, host, segments) {
			result.Rule, result.Class = i, k.rules[i].Class
			break
		}
	}
	result.Effect = effectOf(r, k.opt.Classes[result.Class].DropsRepeats)
	if k.tenant != nil {
		if i := slices.Index(k.opt.Tenants, k.tenant(r, host)); i >= 0 {
			result.Tenant = i
		}
	}
	if k.key != nil {
		if key := k.key(r); key != "" {
			h := fnv.New64a()
			_, _ = io.WriteString(h, key) // hash.Hash never returns an error
			result.Key = max(1, h.Sum64())
		}
	}
	return result, nil
}

func (r *rule) matches(q Request, host string, segments []string) bool {
	switch {
	case len(r.Methods) > 0 && !slices.Contains(r.Methods, q.Method):
		return false
	case strings.HasPrefix(r.Host, "*."):
		if !strings.HasSuffix(host, r.Host[1:]) || len(host) == len(r.Host)-1 {
			return false
		}
	case r.Host != "" && r.Host != host:
		return false
	}
	if r.Path != "" && !matchSegments(segments, r.segments, r.exact) {
		return false
	}
	if r.Header == "" {
		return true
	}
	values := q.Header.Values(r.Header)
	return len(values) > 0 && (r.Value == "" || slices.Contains(values, r.Value))
}

// effectOf follows RFC 9110, section 9.2: safe and idempotent methods may be repeated, others
// only where servers drop repeats of an idempotency key.
func effectOf(r Request, dropped bool) policy.Effect {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return policy.Safe
	}
	if dropped && len(r.Header.Values("Idempotency-Key")) == 1 {
		return policy.Keyed
	}
	return policy.Unsafe
}
