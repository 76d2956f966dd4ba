// Package racedetector lets single-threaded tests skip runs under the race detector, which finds nothing in them and
// makes them take five times as long. The README's first command runs them without it.
package racedetector

import "testing"

// Skip skips a single-threaded test in a build with the race detector.
func Skip(t *testing.T) {
	t.Helper()
	if raceEnabled {
		t.Skip("single-threaded virtual time: run without the race detector")
	}
}
