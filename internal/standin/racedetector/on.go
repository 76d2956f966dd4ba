//go:build race

package racedetector

const raceEnabled = true
