package node

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"otterstep/internal/operator"
)

// BenchmarkRequest measures the cost of a request through a node with client, node and server
// in one process, one request at a time on a persistent connection, with bodies of the given
// size in both directions.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{100, 16 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			payload := strings.Repeat("x", size)
			server, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer server.Close()
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, payload)
			go func() {
				for {
					c, err := server.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						for in := bufio.NewReader(c); ; {
							r, err := http.ReadRequest(in)
							if err != nil {
								return
							}
							io.Copy(io.Discard, r.Body)
							io.WriteString(c, answer)
						}
					}()
				}
			}()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			cfg := Config{
				Name: "n0", Listen: l.Addr().String(), Discovery: "127.0.0.1:1", Seed: 1, Sockets: 1024, MemoryMB: 192, Site: siteOf(b, settings),
				Known: hostList{Rev: 1, All: true, Targets: []target{{UID: "s1", Endpoint: server.Addr().String(), AZ: "a", State: "in_service", CapacityHint: 1}}},
			}
			go serve(b.Context(), cfg, operator.File{}, l, Reloads{}, slog.New(slog.DiscardHandler))
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			in := bufio.NewReader(c)
			time.Sleep(200 * time.Millisecond) // until the first call to discovery has failed
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				fmt.Fprintf(c, "POST /push/k HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: b%d\r\nX-Service-Class: push\r\nX-Account: acme\r\nX-Time-Left: 2\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", n, size, payload)
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					b.Fatal(err)
				}
				if got, err := io.Copy(io.Discard, resp.Body); err != nil || got != int64(size) {
					b.Fatalf("%s, %d bytes, %v", resp.Status, got, err)
				}
			}
		})
	}
}
