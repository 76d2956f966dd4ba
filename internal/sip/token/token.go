// Package token signs and verifies the user part of the proxy's Record-Route URI. A token
// names the server that handles a dialog and the return path to its caller. Its MAC also
// covers the dialog's Call-ID and the caller's tag. Any instance that has the key can
// therefore route the dialog, even after a restart, and a token is valid for its own
// dialog only.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// MinKeySize is the minimum length of a key in bytes.
const MinKeySize = 32

const (
	version = 1
	macSize = 16 // HMAC-SHA-256 truncated to half its length, as RFC 2104 section 5 allows
	prefix  = "o1."
)

// ReturnPath is where a caller can be reached.
type ReturnPath struct {
	Transport byte           // numbered as proxy.Transport
	Source    netip.AddrPort // source address of the caller's requests
	Port      uint16         // the port on which the caller accepts connections, from its Via
}

// Claims are the contents of a token.
type Claims struct {
	Server  uint64 // the server's ID in the pool
	Caller  ReturnPath
	Expires time.Time // Sign rounds it up to a whole minute
}

// Reasons for which Verify rejects a token.
var (
	ErrForged  = errors.New("not signed for this dialog")
	ErrExpired = errors.New("expired")
)

// Signer signs and verifies tokens. It is immutable and safe for concurrent use.
type Signer struct{ key []byte }

// New makes a Signer from a key of at least MinKeySize bytes.
func New(key []byte) (*Signer, error) {
	if len(key) < MinKeySize {
		return nil, fmt.Errorf("%d bytes of key, at least %d are needed", len(key), MinKeySize)
	}
	return &Signer{append([]byte(nil), key...)}, nil
}

// HasPrefix reports whether a user part has the form of a token. It does not verify it.
func HasPrefix(user string) bool { return strings.HasPrefix(user, prefix) }

// Sign returns the token of a dialog.
func (s *Signer) Sign(p Claims, callID, callerTag string) string {
	b := make([]byte, 0, 48+macSize)
	b = append(b, version)
	b = binary.BigEndian.AppendUint32(b, uint32(p.Expires.Unix()/60+1))
	b = binary.BigEndian.AppendUint64(b, p.Server)
	b = append(b, p.Caller.Transport)
	b = binary.BigEndian.AppendUint16(b, p.Caller.Port)
	b = binary.BigEndian.AppendUint16(b, p.Caller.Source.Port())
	b = append(b, p.Caller.Source.Addr().Unmap().AsSlice()...)
	b = append(b, s.mac(b, callID, callerTag)...)
	return prefix + base64.RawURLEncoding.EncodeToString(b)
}

// Verify checks a token's MAC and its expiry. The error is ErrForged or ErrExpired.
func (s *Signer) Verify(user, callID, callerTag string, now time.Time) (Claims, error) {
	const fixed = 1 + 4 + 8 + 1 + 2 + 2
	text, ok := strings.CutPrefix(user, prefix)
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if !ok || err != nil || len(b) != fixed+4+macSize && len(b) != fixed+16+macSize || b[0] != version {
		return Claims{}, ErrForged
	}
	held, mac := b[:len(b)-macSize], b[len(b)-macSize:]
	if !hmac.Equal(mac, s.mac(held, callID, callerTag)) {
		return Claims{}, ErrForged
	}
	addr, _ := netip.AddrFromSlice(held[fixed:])
	p := Claims{
		Expires: time.Unix(int64(binary.BigEndian.Uint32(held[1:]))*60, 0),
		Server:  binary.BigEndian.Uint64(held[5:]),
		Caller: ReturnPath{
			Transport: held[13], Port: binary.BigEndian.Uint16(held[14:]),
			Source: netip.AddrPortFrom(addr, binary.BigEndian.Uint16(held[16:])),
		},
	}
	if now.After(p.Expires) {
		return Claims{}, ErrExpired
	}
	return p, nil
}

// mac authenticates a token's contents together with its dialog. Each part is preceded by
// its length, so that bytes can't move from one part to the next.
func (s *Signer) mac(held []byte, callID, callerTag string) []byte {
	h := hmac.New(sha256.New, s.key)
	for _, part := range []string{string(held), callID, callerTag} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	return h.Sum(nil)[:macSize]
}
