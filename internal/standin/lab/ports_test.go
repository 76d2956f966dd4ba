package lab

import (
	"net"
	"testing"
)

// A port that is kept goes to whoever listens at its very address, as an instance does, and
// is given to nobody who asks for any: so many ask that each free one must come up.
func TestKeptPortIsGivenToNobody(t *testing.T) {
	kept, err := keepPort()
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	for range 2 { // at a restart too
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
			t.Fatal("the port was given away")
		}
		l.Close()
	}
}
