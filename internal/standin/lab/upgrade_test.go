package lab

import (
	"strings"
	"testing"
	"time"
)

// Upgrade runs real node processes on one listening socket, cordons a box during each upgrade, and breaks no rule.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	opt := testOptions(t.TempDir())
	opt.Node = append(opt.Node, "-operator", "") // the position of the operator file among the program's arguments
	opt.Boxes, opt.Rate = 4, 60
	reserveSlot(t, opt.Rate)
	var out strings.Builder
	held, err := Upgrade(t.Context(), opt, 3, 300*time.Millisecond, &out)
	if err != nil || !held || strings.Count(out.String(), "cordoned meanwhile") != 3 {
		t.Errorf("held %v, %v:\n%s", held, err, &out)
	}
}
