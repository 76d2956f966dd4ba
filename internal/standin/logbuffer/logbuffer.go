// Package logbuffer holds what a program under test logs.
package logbuffer

import (
	"strings"
	"sync"
)

// Buffer holds text that is written to it; its zero value is empty. It is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *Buffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

// String returns all that has been written.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Contains reports whether text has been written.
func (b *Buffer) Contains(text string) bool { return strings.Contains(b.String(), text) }
