package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"otterstep/internal/control"
	"otterstep/internal/membudget"
	"otterstep/internal/operator"
)

// The parts of the memory sum up to less than the limit at every size that the pages name, with a tenth to spare, and with
// any number of descriptors.
func TestClientMemoryFitsIntoTheLimit(t *testing.T) {
	for _, mb := range []int{32, 64, 96, 192, 2048} {
		for _, descriptors := range []int{64, 256, 1024, 100_000} {
			m := newClientMemory(mb, descriptors)
			held := m.shared(1) + m.connections.Limit()
			if limit := float64(int64(mb) << 20); float64(memoryLimit(mb))+programBytes > usablePart*limit+1 || float64(held) > clientPart*float64(memoryLimit(mb))+1 {
				t.Errorf("%d MB, %d descriptors: collector %d, clients %d", mb, descriptors, memoryLimit(mb), held)
			}
			if m.shared(1) < int64(m.maxConnections)*requestBytes/8 {
				t.Errorf("%d MB, %d descriptors: %d bytes for the requests of %d connections", mb, descriptors, m.shared(1), m.maxConnections)
			}
		}
	}
}

// -check warns where the memory can't carry the descriptors, with both figures: (0.9 x 32 - 12) MB x 2/3 x 1/2 hold 477 x 12 KiB.
func TestMemoryWarning(t *testing.T) {
	for _, c := range []struct {
		mb, sockets int
		want        string
	}{{32, 1024, "memory_mb = 32 carries 477 connections of clients, sockets = 1024 would allow 555"}, {192, 1024, ""}, {32, 256, ""}, {0, 100_000, ""}} {
		if got := (Config{MemoryMB: c.mb, Sockets: c.sockets}).MemoryWarning(); !strings.Contains(got, c.want) || got != "" && c.want == "" {
			t.Errorf("%d MB, %d descriptors: %q", c.mb, c.sockets, got)
		}
	}
}

// Guards against heads that make net/http hold many times their size: one with too many fields is answered 431 with the
// limit, whether or not it ends, and the request before it on the connection is served.
func TestHeadsOfManyFields(t *testing.T) {
	d := newRegistry(t, listedTarget(newServer(t, respondWith(ok("1"), true)), "s1"))
	addr, _ := startNode(t, d)
	fields := ""
	for n := range maxHeadFields + 1 {
		fields += fmt.Sprintf("a%d:b\r\n", n)
	}
	for name, head := range map[string]string{
		"not ended": "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + fields,
		"whole":     "GET /read/1 HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n",
		"long":      "GET /read/1 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", maxHead),
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for _, text := range []string{"GET /up HTTP/1.1\r\nHost: a\r\n\r\n", head} {
				if _, err := io.WriteString(c, text); err != nil {
					t.Fatal(err)
				}
			}
			for _, want := range []int{http.StatusOK, http.StatusRequestHeaderFieldsTooLarge} {
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != want {
					t.Fatalf("%v, %v, want %d", resp, err, want)
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil || want != http.StatusOK && !strings.Contains(string(body), "head: over ") {
					t.Errorf("%q, %v", body, err)
				}
			}
		})
	}
}

// What slow clients hold is bounded and all comes back: with heads, bodies and answers that stop half-way on all connections the
// accounts keep to their limits, and are empty once the clients have left.
func TestSlowClientsGiveTheMemoryBack(t *testing.T) {
	d := newRegistry(t, listedTarget(newServer(t, respondWith(ok("1"), true)), "s1"))
	socket := filepath.Join(t.TempDir(), "c.sock")
	var op operator.File
	op.Control.Socket = socket
	accounts := func() []membudget.Usage {
		v, err := control.Inspect(t.Context(), socket)
		if err != nil {
			t.Fatal(err)
		}
		return v.Memory.Budget
	}
	addr, _ := startNodeConfigured(t, d, op, Reloads{}, quiet(), func(c *Config) { c.MemoryMB, c.Sockets = 32, 512 })
	texts := []string{
		"GET /read/1 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 12<<10),
		headOf("POST", "push", "slow", "Content-Length: 60000\r\n") + strings.Repeat("b", 50_000),
		headOf("POST", "push", "slower", "Content-Length: 4000000\r\n") + strings.Repeat("b", 500_000),
	}
	var conns []net.Conn
	for n := range 150 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		go io.WriteString(c, texts[n%len(texts)]) // a refused one is closed
	}
	waitFor(t, "refusals", func() bool {
		refused := int64(0)
		for _, u := range accounts() {
			if refused += u.Refusals; u.Held > u.Limit {
				t.Errorf("%+v", u)
			}
		}
		return refused > 0
	})
	for _, c := range conns {
		c.Close()
	}
	waitFor(t, "empty accounts", func() bool {
		for _, u := range accounts() {
			if u.Held != 0 {
				return false
			}
		}
		return true
	})
}
