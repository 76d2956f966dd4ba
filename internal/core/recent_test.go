package core

import (
	"fmt"
	"testing"
	"time"
)

func TestRecentIDsForgetInTheEnd(t *testing.T) {
	ids := newRecentIDs(nil)
	if !ids.add(0, "a") || ids.add(ids.every, "a") {
		t.Error("an id must be new once, and known for a while")
	}
	for i := range 1000 {
		ids.add(time.Duration(i)*ids.every/100, fmt.Sprint("b", i))
	}
	if n := len(ids.young) + len(ids.old); n > 250 {
		t.Errorf("%d ids held, want those of two generations", n)
	}
	if !ids.add(100*ids.every, "a") {
		t.Error("an id is held for good")
	}
}
