package lab

import (
	"net"
	"testing"
)

// A reserved port can be listened on by its address, as an instance does, and is never assigned to a socket that asks
// for any free port. The number of attempts exceeds the number of ephemeral ports.
func TestReservedPortIsNotReassigned(t *testing.T) {
	kept, err := reservePort()
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	for range 2 { // again, as after a restart
		l, err := net.Listen("tcp", kept.addr)
		if err != nil {
			t.Fatal(err)
		}
		if c, err := net.Dial("tcp", kept.addr); err != nil {
			t.Error(err)
		} else {
			c.Close()
		}
		l.Close()
	}
	for range 40_000 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if l.Addr().String() == kept.addr {
			t.Fatal("the reserved port was assigned to another socket")
		}
		l.Close()
	}
}
