// Package copybuffer holds buffers for streaming bodies and answers. While much of the memory budget is in use, buffers
// are small: a client that reads slowly holds its buffer for as long as it likes.
package copybuffer

import (
	"sync"

	"otterstep/internal/membudget"
)

const (
	// Large is the size of a buffer while memory is plenty.
	Large = 32 << 10
	// Small is the size of a buffer otherwise; it is a part of what a request in progress costs.
	Small = 4 << 10
	// largePart is the part of the budget that large buffers leave to others.
	largePart = 0.5
)

var (
	large = sync.Pool{New: func() any { return &Buffer{Bytes: make([]byte, Large)} }}
	small = sync.Pool{New: func() any { return &Buffer{Bytes: make([]byte, Small)} }}
)

// Buffer is a buffer in use.
type Buffer struct {
	Bytes   []byte
	account *membudget.Account
}

// Get returns a buffer, large if the account has the room. The caller calls Release.
func Get(account *membudget.Account) *Buffer {
	if !account.ReserveWithin(Large, largePart) {
		return small.Get().(*Buffer)
	}
	b := large.Get().(*Buffer)
	b.account = account
	return b
}

// Release returns the buffer, which must not be used afterwards.
func (b *Buffer) Release() {
	if len(b.Bytes) == Small {
		small.Put(b)
		return
	}
	b.account.Release(Large)
	b.account = nil
	large.Put(b)
}
