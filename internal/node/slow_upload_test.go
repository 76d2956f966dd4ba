package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"otterstep/internal/operator"
)

// Guards against slow uploads that starve all other clients: bodies that stop half-way took all that the node lets a
// server have in flight, and everybody else was refused for a minute.
func TestStoppedUploadsLeaveOthersTheirTurn(t *testing.T) {
	const (
		uploads = 24
		length  = 4 << 20
		sent    = 3 << 19 // more than is buffered
	)
	s := newServer(t, respondWith(ok("x"), true))
	addr, _ := startNodeConfigured(t, newRegistry(t, listedTarget(s, "s1")), operator.File{}, Reloads{}, quiet(),
		func(c *Config) { c.MemoryMB, c.Sockets = 32, 512 })
	for n := range uploads {
		c := connect(t, addr)
		head := headOf("POST", "push", fmt.Sprint("upload", n), fmt.Sprintf("Content-Length: %d\r\n", length))
		if _, err := io.WriteString(c, head+strings.Repeat("b", sent)); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "all uploads at the server", func() bool { return s.conns.Load() >= uploads })
	if code, _, body := do(t, clientRequest(t, addr, "read", "1")); code != http.StatusOK {
		t.Errorf("a usual request is answered %d %s", code, body)
	}
}
