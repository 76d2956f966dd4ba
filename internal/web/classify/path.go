package classify

import (
	"fmt"
	"net/url"
	"strings"
)

// Segments takes an escaped path apart as all readers agree on it: decoded once, empty
// segments left out. A path that servers may read in different ways is an error: one with
// dot segments, also behind escapes or with parameters ("..;x"), or with parameters of nothing, with an escaped slash or
// backslash, with a plain backslash, with escapes of escapes of these, or with control
// characters. A rule's prefix could not be trusted with any of them (RFC 3986, section
// 6.2.2.3; RFC 9110, section 4.2.5).
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
		case Dots(s) || strings.HasPrefix(s, ";"):
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

// Dots tells whether a decoded segment is a dot segment, also one with parameters ("..;x"),
// which some servers resolve and others don't (RFC 3986, section 5.2.4).
func Dots(segment string) bool {
	name, _, _ := strings.Cut(segment, ";")
	return name == "." || name == ".."
}

// under tells whether segments begin with a pattern's; "*" stands for any one.
func under(segments, pattern []string, whole bool) bool {
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
