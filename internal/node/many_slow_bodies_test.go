package node

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"

	"otterstep/internal/operator"
	"otterstep/internal/standin/elapse"
)

// Guards the limits on memory and descriptors against slow senders: with as many large bodies as the descriptors allow, each
// begun and then stopped, the node holds less than its memory limit, and it cuts off every one of them with 408.
func TestMostSlowBodiesStayWithinTheMemoryLimit(t *testing.T) {
	const (
		memoryMB = 64
		sockets  = 1024
		part     = 256 << 10
	)
	_, descriptors := splitDescriptors(sockets - reservedDescriptors)
	most := newClients(descriptors, newClientMemory(0, descriptors)).limit
	l, err := elapse.Listen()
	if err != nil {
		t.Fatal(err)
	}
	var s server // keeps nothing of what it reads, as it shares its memory with the node here
	discarding := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	defer discarding.Close()
	s.addr = discarding.Listener.Addr().String()
	var before, after runtime.MemStats
	addr, _ := startNodeOn(t, l, newRegistry(t, listedTarget(&s, "s1")), operator.File{}, Reloads{}, quiet(), func(cfg *Config) {
		cfg.MemoryMB, cfg.Sockets = memoryMB, sockets
	})
	runtime.GC()
	runtime.ReadMemStats(&before)
	var all []*clientConn
	text := strings.Repeat("x", part)
	var sends sync.WaitGroup
	for n := range most {
		c := connect(t, addr)
		all = append(all, c)
		sends.Go(func() { // a refused one is closed
			_, _ = io.WriteString(c, headOf("POST", "push", fmt.Sprint("slow", n), fmt.Sprintf("Content-Length: %d\r\n", 1<<20))+text)
		})
	}
	sends.Wait()
	last, polls := int64(-1), 0
	waitFor(t, "all that the node reads", func() bool {
		if now := l.BytesRead(); now != last {
			last, polls = now, 0
		}
		polls++
		return polls > 50
	})
	runtime.GC()
	runtime.ReadMemStats(&after)
	if held := int64(after.HeapAlloc+after.StackInuse) - int64(before.HeapAlloc+before.StackInuse); held > memoryMB<<20 {
		t.Errorf("%d bodies hold %d MB of %d", most, held>>20, memoryMB)
	} else {
		t.Logf("%d bodies, of which %d MB were sent, hold %d MB", most, most*part>>20, held>>20)
	}
	var codes sync.Map
	var answers sync.WaitGroup
	for _, c := range all {
		answers.Go(func() {
			code, text, closes := c.answer(t)
			codes.Store(c, code)
			if code == 0 || !closes {
				t.Errorf("answered %d %s, closes %v", code, text, closes)
			}
		})
	}
	answered := make(chan struct{})
	go func() { answers.Wait(); close(answered) }()
	waitFor(t, "answers to all", func() bool {
		select {
		case <-answered:
			return true
		default:
			l.Elapse(bodyGrace)
			return false
		}
	})
	byCode := map[int]int{}
	codes.Range(func(_, code any) bool { byCode[code.(int)]++; return true })
	if byCode[http.StatusRequestTimeout] == 0 || byCode[http.StatusRequestTimeout]+byCode[http.StatusServiceUnavailable] != most {
		t.Errorf("answers %v, want 408, and 503 for those for which there was no room", byCode)
	}
}
