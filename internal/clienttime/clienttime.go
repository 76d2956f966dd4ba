// Package clienttime derives from the time that a client has left how long a front may wait for a part of a server's
// answer, or hold back what has come of it. All fronts share it.
package clienttime

import "time"

const (
	// reserve is the part of the client's time that is left for what comes behind a wait or a hold.
	reserve = 0.75
	// maxHold is the longest hold, whatever the client has left: to hold an answer back for 2 s loses the request.
	maxHold = time.Second
	// MaxStall is the longest wait within an answer after which another attempt is worth its work. Servers write small
	// answers in few parts.
	MaxStall = 300 * time.Millisecond
	// MaxPause is the longest silence that is no pause of the server's.
	MaxPause = 100 * time.Millisecond
)

// Hold returns how long the beginning of an answer may be held back where the client has left. Until then another attempt
// can take its place; behind it enough is left for that one.
func Hold(left time.Duration) time.Duration {
	return min(maxHold, time.Duration((1-reserve)*float64(max(0, left))))
}

// Stall returns how long an answer may take from its first byte on until another attempt is worth while. The attempt itself
// goes on for as long as the client waits.
func Stall(left time.Duration) time.Duration { return min(MaxStall, Hold(left)) }

// Pause returns how long a server may be silent within an answer that is held back: behind that, the rest may take long.
func Pause(left time.Duration) time.Duration { return min(MaxPause, Hold(left)) }
