//go:build race

package racing

const raceEnabled = true
