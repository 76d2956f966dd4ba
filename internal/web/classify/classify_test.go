package classify

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"path"
	"slices"
	"strings"
	"testing"

	"otterstep/policy"
)

// lenientPath interprets a path as the most lenient servers do: it decodes repeatedly, treats
// backslashes as slashes, drops parameters of dot segments, merges slashes and resolves dot
// segments.
func lenientPath(escaped string) string {
	for range 8 {
		s, err := url.PathUnescape(escaped)
		if err != nil || s == escaped {
			break
		}
		escaped = s
	}
	escaped = strings.ReplaceAll(escaped, "\\", "/")
	var all []string
	for s := range strings.SplitSeq(escaped, "/") {
		name, _, found := strings.Cut(s, ";")
		if found && strings.Trim(name, ".") == "" {
			s = name
		}
		all = append(all, s)
	}
	return path.Clean("/" + strings.Join(all, "/"))
}

// strictPath interprets a path by RFC 3986: it decodes once and resolves dot segments.
func strictPath(escaped string) string {
	s, err := url.PathUnescape(escaped)
	if err != nil {
		return ""
	}
	return path.Clean("/" + s)
}

// FuzzSegments checks that strict and lenient parsers agree on every accepted path, so that
// no request can evade the prefix of a rule.
func FuzzSegments(f *testing.F) {
	for _, p := range []string{
		"/", "/a/b", "/a//b/", "/a/./b", "/a/../b", "/a%2fb", "/a%5c..%5cb", "/%2e%2e/x", "/%252e%252e/x", "/..;a=b/x", "/a;b/c", "/a\\b",
		"/%00", "/%zz", "*", "", "/a%2Cb", "/%c3%a4", "/....//", "/%25%32%65/", "/.%2e/", "/%3b/", "/..%3bx/", "/;/0",
	} {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, p string) {
		segments, err := Segments(p)
		if err != nil {
			return
		}
		got := path.Clean("/" + strings.Join(segments, "/"))
		if s := strictPath(p); s != got {
			t.Fatalf("%q is parsed as %q, strictly as %q", p, got, s)
		}
		// The lenient parser may decode a segment further than Segments and the strict parser
		// do, but must find the same number of segments.
		if l := lenientPath(p); strings.Count(l, "/") != strings.Count(got, "/") {
			t.Fatalf("%q is parsed as %q, leniently as %q", p, got, l)
		}
	})
}

// referenceMatch is a simple, slow model of the rules: it tries each one in order on
// unparsed strings.
func referenceMatch(rules []Rule, r Request) int {
	for i, rule := range rules {
		host := CanonicalHost(r.Host)
		hostFits := rule.Host == "" || host == rule.Host ||
			strings.HasPrefix(rule.Host, "*.") && strings.HasSuffix(host, rule.Host[1:]) && host != rule.Host[1:]
		pathFits := rule.Path == "" || strings.HasPrefix(r.Path+"/", rule.Path) && strings.HasSuffix(rule.Path, "/") || r.Path == rule.Path
		if strings.Contains(rule.Path, "*") {
			a, b := strings.Split(r.Path, "/"), strings.Split(rule.Path, "/")
			pathFits = len(a) == len(b)
			for j := range b {
				pathFits = pathFits && (b[j] == "*" || b[j] == a[j])
			}
		}
		methodFits := len(rule.Methods) == 0 || slices.Contains(rule.Methods, r.Method)
		headerFits := rule.Header == "" || r.Header.Get(rule.Header) != "" && (rule.Value == "" || r.Header.Get(rule.Header) == rule.Value)
		if hostFits && pathFits && methodFits && headerFits {
			return i
		}
	}
	return -1
}

// Random rules in random order must match like the reference model.
func TestRulesMatchReferenceModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	pick := func(all ...string) string { return all[rng.IntN(len(all))] }
	fitted := 0
	for range 20_000 {
		var rules []Rule
		for range rng.IntN(6) {
			r := Rule{Host: pick("", "a.example", "*.example"), Path: pick("", "/api/", "/api/v1/", "/api", "/users/*/orders", "/x/")}
			if rng.IntN(2) == 0 {
				r.Methods = []string{pick("GET", "POST"), "PUT"}
			}
			if rng.IntN(3) == 0 {
				r.Header, r.Value = "X-Kind", pick("", "a", "b")
			}
			rules = append(rules, r)
		}
		k, err := New(Config{Classes: []Class{{Name: "d"}}, Rules: rules})
		if err != nil {
			t.Fatal(err)
		}
		r := Request{
			Method: pick("GET", "POST", "PUT"), Host: pick("a.example", "A.Example:80", "b.example.", "example", "[::1]:80"),
			Path: pick("/", "/api", "/api/v1", "/api/v1/x", "/apix", "/users/7/orders", "/users/7/orders/1", "/x/y"), Header: http.Header{},
		}
		if rng.IntN(2) == 0 {
			r.Header.Set("X-Kind", pick("a", "b"))
		}
		got, err := k.Classify(r)
		if want := referenceMatch(rules, r); err != nil || got.Rule != want {
			t.Fatalf("%+v by %+v: rule %d, %v; want %d", r, rules, got.Rule, err, want)
		}
		if got.Rule >= 0 {
			fitted++
		}
	}
	if fitted < 5000 {
		t.Errorf("only %d requests matched a rule", fitted)
	}
}

// The effect depends on the method, the idempotency key and whether servers drop repeats.
func TestEffects(t *testing.T) {
	for _, c := range []struct {
		method  string
		keys    []string
		dropped bool
		want    policy.Effect
	}{
		{"GET", nil, false, policy.Safe}, {"HEAD", nil, false, policy.Safe}, {"OPTIONS", nil, true, policy.Safe},
		{"PUT", nil, false, policy.Safe}, {"DELETE", nil, false, policy.Safe},
		{"POST", nil, true, policy.Unsafe}, {"POST", []string{"k"}, false, policy.Unsafe}, {"POST", []string{"k"}, true, policy.Keyed},
		{"PATCH", []string{"k"}, true, policy.Keyed}, {"BREW", []string{"k"}, true, policy.Keyed}, {"BREW", nil, true, policy.Unsafe},
		{"POST", []string{"k", "l"}, true, policy.Unsafe}, {"get", nil, true, policy.Unsafe},
	} {
		k, err := New(Config{Classes: []Class{{Name: "d", DropsRepeats: c.dropped}}})
		if err != nil {
			t.Fatal(err)
		}
		got, err := k.Classify(Request{Method: c.method, Path: "/", Header: http.Header{"Idempotency-Key": c.keys}})
		if err != nil || got.Effect != c.want {
			t.Errorf("%+v: %v, %v", c, got.Effect, err)
		}
	}
}

// Tenants and keys are taken from the configured parts of the request.
func TestTenantsAndKeys(t *testing.T) {
	r := Request{
		Method: "GET", Host: "A.example:8080", Path: "/x/y", Header: http.Header{"X-Api-Key": {"t2"}, "X-Key": {"k"}},
		Source: netip.MustParseAddr("10.1.2.3"), CertName: "t1",
	}
	tenants := []string{"t1", "t2", "a.example", "10.1.0.0/16", "fd00::/64"}
	for by, want := range map[string]int{"": 5, "host": 2, "certificate": 0, "header:X-Api-Key": 1, "header:X-None": 5, "source:16": 3, "source:24": 5} {
		k, err := New(Config{Classes: []Class{{}}, Tenants: tenants, TenantBy: by})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := k.Classify(r); err != nil || got.Tenant != want {
			t.Errorf("%q: tenant %d, %v; want %d", by, got.Tenant, err, want)
		}
	}
	k, _ := New(Config{Classes: []Class{{}}, Tenants: tenants, TenantBy: "source:16"})
	six := r
	six.Source = netip.MustParseAddr("fd00::7")
	if got, _ := k.Classify(six); got.Tenant != 4 {
		t.Errorf("IPv6: tenant %d", got.Tenant)
	}
	seen := map[uint64]bool{}
	for _, by := range []string{"", "path", "header:X-Key", "header:X-None"} {
		k, err := New(Config{Classes: []Class{{}}, KeyBy: by})
		if err != nil {
			t.Fatal(err)
		}
		got, _ := k.Classify(r)
		seen[got.Key] = true
	}
	if len(seen) != 3 || !seen[0] {
		t.Errorf("keys %v", seen)
	}
}

// An invalid configuration yields one error per invalid key, each naming the key.
func TestInvalidConfigurations(t *testing.T) {
	_, err := New(Config{
		Classes: []Class{{Name: "d"}}, TenantBy: "moon", KeyBy: "moon",
		Rules: []Rule{{Path: "x", Class: -1}, {Host: "a:80"}, {Path: "/a/../b", Value: "x"}, {Host: "a*b"}},
	})
	for _, want := range []string{"rule[1].path", "rule[1].class", "rule[2].host", "rule[3].path", "rule[3].value", "rule[4].host", "tenant_by", "key_by"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no error for %s in %v", want, err)
		}
	}
}
