package token

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"testing/quick"
	"time"
)

func sealer(t *testing.T, c string) *Sealer {
	t.Helper()
	s, err := New([]byte(strings.Repeat(c, Least)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var now = time.Unix(1_800_000_000, 0)

// What was sealed opens as it was, for its dialog alone, with its key alone, until it
// expires, and with no character changed.
func TestTokens(t *testing.T) {
	s, other := sealer(t, "a"), sealer(t, "b")
	check := func(server uint64, addr [16]byte, four [4]byte, six bool, port, back uint16, callID, tag string, at uint16) bool {
		a := netip.AddrFrom4(four)
		if six {
			a = netip.AddrFrom16(addr)
		}
		p := Pin{Server: server, Caller: Way{Transport: 2, Source: netip.AddrPortFrom(a.Unmap(), port), Port: back}, Expires: now.Add(time.Hour)}
		user := s.Seal(p, callID, tag)
		got, err := s.Open(user, callID, tag, now)
		if err != nil || got.Server != p.Server || got.Caller != p.Caller || got.Expires.Before(p.Expires) {
			t.Logf("%+v became %+v, %v", p, got, err)
			return false
		}
		for _, bad := range []struct {
			s                 *Sealer
			user, callID, tag string
		}{
			{other, user, callID, tag}, {s, user, callID + "x", tag}, {s, user, callID, tag + "x"}, {s, user, "x" + callID, tag},
			{s, change(user, int(at)), callID, tag}, {s, user[:len(user)-1], callID, tag}, {s, user + "A", callID, tag}, {s, "", callID, tag},
		} {
			if _, err := bad.s.Open(bad.user, bad.callID, bad.tag, now); !errors.Is(err, ErrForged) {
				t.Logf("%+v: %v", bad, err)
				return false
			}
		}
		// The parts of the dialog can't be moved against one another.
		if callID != "" {
			if _, err := s.Open(user, callID[:len(callID)-1], callID[len(callID)-1:]+tag, now); err == nil {
				return false
			}
		}
		_, err = s.Open(user, callID, tag, now.Add(2*time.Hour))
		return errors.Is(err, ErrExpired) && Ours(user) && len(user) < 128
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 500}); err != nil {
		t.Error(err)
	}
}

// change swaps one character of a token for another.
func change(user string, at int) string {
	b := []byte(user)
	i := len(prefix) + at%(len(b)-len(prefix))
	if b[i] == 'A' {
		b[i] = 'B'
	} else {
		b[i] = 'A'
	}
	return string(b)
}

func TestShortKeys(t *testing.T) {
	if _, err := New(make([]byte, Least-1)); err == nil {
		t.Error("taken")
	}
}

func FuzzOpen(f *testing.F) {
	s, err := New(make([]byte, Least))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(s.Seal(Pin{Caller: Way{Source: netip.MustParseAddrPort("[2001:db8::1]:5")}, Expires: now}, "a", "b"))
	f.Fuzz(func(t *testing.T, user string) {
		if p, err := s.Open(user, "another", "b", now); err == nil {
			t.Errorf("%q opens as %+v", user, p)
		}
	})
}
