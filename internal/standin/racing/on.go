//go:build race

package racing

const watched = true
