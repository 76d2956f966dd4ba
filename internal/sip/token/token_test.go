package token

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"testing/quick"
	"time"
)

func newSigner(t *testing.T, c string) *Signer {
	t.Helper()
	s, err := New([]byte(strings.Repeat(c, MinKeySize)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var now = time.Unix(1_800_000_000, 0)

// A token verifies with its own key and for its own dialog until it expires, and gives the
// claims that were signed. Any changed character makes it invalid.
func TestSignAndVerify(t *testing.T) {
	s, other := newSigner(t, "a"), newSigner(t, "b")
	check := func(server uint64, addr [16]byte, four [4]byte, six bool, port, back uint16, callID, tag string, at uint16) bool {
		a := netip.AddrFrom4(four)
		if six {
			a = netip.AddrFrom16(addr)
		}
		p := Claims{Server: server, Caller: ReturnPath{Transport: 2, Source: netip.AddrPortFrom(a.Unmap(), port), Port: back}, Expires: now.Add(time.Hour)}
		user := s.Sign(p, callID, tag)
		got, err := s.Verify(user, callID, tag, now)
		if err != nil || got.Server != p.Server || got.Caller != p.Caller || got.Expires.Before(p.Expires) {
			t.Logf("%+v became %+v, %v", p, got, err)
			return false
		}
		for _, bad := range []struct {
			s                 *Signer
			user, callID, tag string
		}{
			{other, user, callID, tag}, {s, user, callID + "x", tag}, {s, user, callID, tag + "x"}, {s, user, "x" + callID, tag},
			{s, change(user, int(at)), callID, tag}, {s, user[:len(user)-1], callID, tag}, {s, user + "A", callID, tag}, {s, "", callID, tag},
		} {
			if _, err := bad.s.Verify(bad.user, bad.callID, bad.tag, now); !errors.Is(err, ErrForged) {
				t.Logf("%+v: %v", bad, err)
				return false
			}
		}
		// Moving a byte from the Call-ID to the tag must not give the same MAC.
		if callID != "" {
			if _, err := s.Verify(user, callID[:len(callID)-1], callID[len(callID)-1:]+tag, now); err == nil {
				return false
			}
		}
		_, err = s.Verify(user, callID, tag, now.Add(2*time.Hour))
		return errors.Is(err, ErrExpired) && HasPrefix(user) && len(user) < 128
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 500}); err != nil {
		t.Error(err)
	}
}

// change replaces one character of a token.
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

func TestRejectsShortKeys(t *testing.T) {
	if _, err := New(make([]byte, MinKeySize-1)); err == nil {
		t.Error("New accepted a key below MinKeySize")
	}
}

func FuzzVerify(f *testing.F) {
	s, err := New(make([]byte, MinKeySize))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(s.Sign(Claims{Caller: ReturnPath{Source: netip.MustParseAddrPort("[2001:db8::1]:5")}, Expires: now}, "a", "b"))
	f.Fuzz(func(t *testing.T, user string) {
		if p, err := s.Verify(user, "another", "b", now); err == nil {
			t.Errorf("%q verifies as %+v", user, p)
		}
	})
}
