package classify

import (
	"fmt"
	"net/url"
	"strings"
)

// Segments splits an escaped path into segments, decoded once and without empty ones. Paths
// that servers may interpret differently are rejected, because a request could otherwise
// evade the prefix of a rule (RFC 3986, section 6.2.2.3; RFC 9110, section 4.2.5). These are
// paths with dot segments, also escaped or with parameters ("..;x"), with segments that
// consist of parameters only, with a backslash, an escaped slash or an escaped backslash,
// with double escapes of any of these, or with control characters.
func Segments(escaped string) ([]string, error) {
	if !strings.HasPrefix(escaped, "/") {
		return nil, fmt.Errorf("path %.60q does not begin with a slash", escaped)
	}
	var all []string
	for raw := range strings.SplitSeq(escaped[1:], "/") {
		s, err := url.PathUnescape(raw)
		if err != nil {
			return nil, fmt.Errorf("path: %w", err)
		}
		switch {
		case IsDotSegment(s) || strings.HasPrefix(s, ";"):
			return nil, fmt.Errorf("path: a segment %.20q, which servers resolve in different ways", raw)
		case strings.ContainsAny(s, "/\\"):
			return nil, fmt.Errorf("path: a slash or backslash inside segment %.20q", raw)
		case strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f }):
			return nil, fmt.Errorf("path: a control character in segment %.20q", raw)
		}
		if lower := strings.ToLower(s); strings.Contains(lower, "%2e") || strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") {
			return nil, fmt.Errorf("path: segment %.20q is escaped twice", raw)
		}
		if s != "" {
			all = append(all, s)
		}
	}
	return all, nil
}

// IsDotSegment reports whether a decoded segment is a dot segment, with or without parameters
// ("..;x"), which some servers resolve and others do not (RFC 3986, section 5.2.4).
func IsDotSegment(segment string) bool {
	name, _, _ := strings.Cut(segment, ";")
	return name == "." || name == ".."
}

// matchSegments reports whether segments begin with pattern, or equal it if whole is set;
// "*" matches any one segment.
func matchSegments(segments, pattern []string, whole bool) bool {
	if len(segments) < len(pattern) || whole && len(segments) > len(pattern) {
		return false
	}
	for i, p := range pattern {
		if p != "*" && p != segments[i] {
			return false
		}
	}
	return true
}
