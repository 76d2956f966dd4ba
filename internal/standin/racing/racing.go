// Package racing tells whether the race detector watches, for tests whose work is done by one thread: it finds
// nothing there and makes them take five times as long. The README's first command plays them without it.
package racing

import "testing"

// Skip skips a test of one thread while the race detector watches.
func Skip(t *testing.T) {
	t.Helper()
	if watched {
		t.Skip("one thread of virtual time: played without the race detector")
	}
}
