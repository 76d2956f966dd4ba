package lab

import (
	"strings"
	"testing"
	"time"
)

// The demonstration of upgrades holds: real processes of the program on one socket, a box out
// by hand over each upgrade, and no rule broken.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	opt := testOptions(t.TempDir())
	opt.Node = append(opt.Node, "-operator", "") // the program's place for the operator's file
	opt.Boxes, opt.Rate = 4, 60
	room(t, opt.Rate)
	var out strings.Builder
	held, err := Upgrade(t.Context(), opt, 3, 300*time.Millisecond, &out)
	if err != nil || !held || strings.Count(out.String(), "out meanwhile") != 3 {
		t.Errorf("held %v, %v:\n%s", held, err, &out)
	}
}
