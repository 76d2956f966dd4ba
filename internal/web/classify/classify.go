// Package classify decides what a request of ordinary HTTP is to the decision module: its
// class, what a repeat of it would do, its tenant and its key. It does no I/O.
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

// Rule gives requests that fit all of it a class. What is empty fits any.
type Rule struct {
	Host    string   // "shop.example", or "*.example" for all names below it
	Path    string   // "/api/" and all below it, or "/users/*/orders" as a whole; "*" is any one segment
	Methods []string // upper case
	Header  string   // a field that must be there,
	Value   string   // with this value if it is not empty
	Class   int
}

// Class is a class as the operator has it.
type Class struct {
	Name string
	// Dropped tells that servers drop repeats of an Idempotency-Key.
	Dropped bool
}

// Config says how to classify. Make a Classifier of it.
type Config struct {
	Classes []Class // the first is for what no rule fits
	Rules   []Rule  // the first that fits counts
	Tenants []string
	Tenant  string // "", "host", "certificate", "header:NAME" or "source:BITS" (prefix of IPv4; IPv6 takes 64)
	Key     string // "", "path" or "header:NAME"
}

// Request is what is looked at.
type Request struct {
	Method string
	Host   string // with or without a port
	Path   string // escaped, as it came
	Header http.Header
	Source netip.Addr
	Name   string // of the client's certificate; "" without one
}

// Result is what a request is.
type Result struct {
	Class  int // of Config.Classes
	Rule   int // that fitted; -1 for none
	Effect policy.Effect
	Tenant int // of Config.Tenants; their number for one that is not among them
	Key    uint64
}

// Classifier classifies. It is safe for concurrent use, and keeps nothing.
type Classifier struct {
	opt    Config
	rules  []rule
	tenant func(Request, string) string // by its request and canonical host
	key    func(Request) string
}

type rule struct {
	Rule
	path  []string
	whole bool
}

// New checks a configuration; an error names the place in it, as in "rule[2].path".
func New(c Config) (*Classifier, error) {
	k := &Classifier{opt: c}
	var errs []error
	bad := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	for i, r := range c.Rules {
		own := rule{Rule: r}
		if r.Path != "" {
			var err error
			if own.path, err = Segments(r.Path); err != nil {
				bad("rule[%d].path: %w", i+1, err)
			}
			own.whole = !strings.HasSuffix(r.Path, "/")
		}
		own.Host = strings.ToLower(r.Host)
		if strings.ContainsAny(own.Host, "/:") || strings.Contains(strings.TrimPrefix(own.Host, "*."), "*") {
			bad("rule[%d].host: %q is no name, nor \"*.\" and a name", i+1, r.Host)
		}
		if r.Class < 0 || r.Class >= len(c.Classes) {
			bad("rule[%d].class: there is none of that name", i+1)
		}
		if r.Value != "" && r.Header == "" {
			bad("rule[%d].value: of which header?", i+1)
		}
		k.rules = append(k.rules, own)
	}
	var err error
	if k.tenant, err = tenantBy(c.Tenant); err != nil {
		bad("tenant_by: %w", err)
	}
	if k.key, err = keyBy(c.Key); err != nil {
		bad("key_by: %w", err)
	}
	return k, errors.Join(errs...)
}

func tenantBy(word string) (func(Request, string) string, error) {
	kind, rest, _ := strings.Cut(word, ":")
	switch {
	case word == "":
		return nil, nil
	case word == "host":
		return func(_ Request, host string) string { return host }, nil
	case word == "certificate":
		return func(r Request, _ string) string { return r.Name }, nil
	case kind == "header" && rest != "":
		return func(r Request, _ string) string { return r.Header.Get(rest) }, nil
	case kind == "source":
		bits, err := strconv.Atoi(rest)
		if err != nil || bits < 1 || bits > 32 {
			return nil, fmt.Errorf("%q: source:BITS takes 1 to 32", word)
		}
		return func(r Request, _ string) string {
			most := bits
			if !r.Source.Is4() {
				most = 64
			}
			p, err := r.Source.Prefix(most)
			if err != nil {
				return ""
			}
			return p.String()
		}, nil
	}
	return nil, fmt.Errorf("%q is none of host, certificate, header:NAME and source:BITS", word)
}

func keyBy(word string) (func(Request) string, error) {
	kind, rest, _ := strings.Cut(word, ":")
	switch {
	case word == "":
		return nil, nil
	case word == "path":
		return func(r Request) string { return r.Path }, nil
	case kind == "header" && rest != "":
		return func(r Request) string { return r.Header.Get(rest) }, nil
	}
	return nil, fmt.Errorf("%q is none of path and header:NAME", word)
}

// Host gives a Host as names are compared: without port and last dot, in lower case.
func Host(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(strings.Trim(host, "[]"), "."))
}

// Classify gives what a request is. A path that servers may read in different ways is an
// error, whatever the rules.
func (k *Classifier) Classify(r Request) (Result, error) {
	var segments []string
	if r.Path != "*" || r.Method != http.MethodOptions {
		var err error
		if segments, err = Segments(r.Path); err != nil {
			return Result{}, err
		}
	}
	host := Host(r.Host)
	out := Result{Rule: -1, Tenant: len(k.opt.Tenants)}
	for i := range k.rules {
		if k.rules[i].fits(r, host, segments) {
			out.Rule, out.Class = i, k.rules[i].Class
			break
		}
	}
	out.Effect = effect(r, k.opt.Classes[out.Class].Dropped)
	if k.tenant != nil {
		if i := slices.Index(k.opt.Tenants, k.tenant(r, host)); i >= 0 {
			out.Tenant = i
		}
	}
	if k.key != nil {
		if key := k.key(r); key != "" {
			h := fnv.New64a()
			_, _ = io.WriteString(h, key) // a hash takes all
			out.Key = max(1, h.Sum64())
		}
	}
	return out, nil
}

func (r *rule) fits(q Request, host string, segments []string) bool {
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
	if r.Path != "" && !under(segments, r.path, r.whole) {
		return false
	}
	if r.Header == "" {
		return true
	}
	values := q.Header.Values(r.Header)
	return len(values) > 0 && (r.Value == "" || slices.Contains(values, r.Value))
}

// effect goes by RFC 9110, section 9.2: what is safe or idempotent may be repeated, the
// rest only where servers drop repeats of its key.
func effect(r Request, dropped bool) policy.Effect {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return policy.Safe
	}
	if dropped && len(r.Header.Values("Idempotency-Key")) == 1 {
		return policy.Keyed
	}
	return policy.Unsafe
}
