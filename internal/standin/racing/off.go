//go:build !race

package racing

const watched = false
