package core

import (
	"fmt"
	"testing"
	"time"
)

func TestRecentIDsExpire(t *testing.T) {
	ids := newRecentIDs(nil)
	if !ids.add(0, "a") || ids.add(ids.interval, "a") {
		t.Error("an ID must be new once and then known for a while")
	}
	for i := range 1000 {
		ids.add(time.Duration(i)*ids.interval/100, fmt.Sprint("b", i))
	}
	if n := len(ids.current) + len(ids.previous); n > 250 {
		t.Errorf("%d IDs held, want at most two generations", n)
	}
	if !ids.add(100*ids.interval, "a") {
		t.Error("an ID is never forgotten")
	}
}
