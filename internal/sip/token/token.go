// Package token makes and checks the user part of the proxy's Record-Route URI: it
// names the server that a dialog is at and the way back to its caller, under a keyed
// hash over them and the dialog's Call-ID and caller's tag. So any instance with the
// key routes a dialog, restarted or not, and a token of one dialog serves no other.
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

// Least is how many bytes a key has at least.
const Least = 32

const (
	version = 1
	macSize = 16 // of HMAC-SHA-256, cut: RFC 2104 section 5 allows half
	prefix  = "o1."
)

// Way is where a caller can be reached.
type Way struct {
	Transport byte           // as the front numbers them
	Source    netip.AddrPort // its requests came from there
	Port      uint16         // it says that it takes connections on this one
}

// Pin is what a token holds.
type Pin struct {
	Server  uint64 // the pool's id of it
	Caller  Way
	Expires time.Time // to the second
}

// Why a token does not serve.
var (
	ErrForged  = errors.New("not signed for this dialog")
	ErrExpired = errors.New("expired")
)

// Sealer makes and checks tokens; it does not change and may be shared.
type Sealer struct{ key []byte }

// New takes a key of Least bytes or more.
func New(key []byte) (*Sealer, error) {
	if len(key) < Least {
		return nil, fmt.Errorf("%d bytes of key, at least %d are needed", len(key), Least)
	}
	return &Sealer{append([]byte(nil), key...)}, nil
}

// Ours tells whether a user part looks like a token, forged or not.
func Ours(user string) bool { return strings.HasPrefix(user, prefix) }

// Seal makes the token of a dialog.
func (s *Sealer) Seal(p Pin, callID, callerTag string) string {
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

// Open checks a token; the error is ErrForged or ErrExpired.
func (s *Sealer) Open(user, callID, callerTag string, now time.Time) (Pin, error) {
	const fixed = 1 + 4 + 8 + 1 + 2 + 2
	text, ok := strings.CutPrefix(user, prefix)
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if !ok || err != nil || len(b) != fixed+4+macSize && len(b) != fixed+16+macSize || b[0] != version {
		return Pin{}, ErrForged
	}
	held, mac := b[:len(b)-macSize], b[len(b)-macSize:]
	if !hmac.Equal(mac, s.mac(held, callID, callerTag)) {
		return Pin{}, ErrForged
	}
	addr, _ := netip.AddrFromSlice(held[fixed:])
	p := Pin{
		Expires: time.Unix(int64(binary.BigEndian.Uint32(held[1:]))*60, 0),
		Server:  binary.BigEndian.Uint64(held[5:]),
		Caller: Way{
			Transport: held[13], Port: binary.BigEndian.Uint16(held[14:]),
			Source: netip.AddrPortFrom(addr, binary.BigEndian.Uint16(held[16:])),
		},
	}
	if now.After(p.Expires) {
		return Pin{}, ErrExpired
	}
	return p, nil
}

// mac hashes what a token holds with its dialog; lengths keep the parts apart.
func (s *Sealer) mac(held []byte, callID, callerTag string) []byte {
	h := hmac.New(sha256.New, s.key)
	for _, part := range []string{string(held), callID, callerTag} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	return h.Sum(nil)[:macSize]
}
