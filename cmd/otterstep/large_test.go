package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// largeBody is the largest body that clients send according to the platform's DAYS document.
const largeBody = 32 << 20

// BenchmarkLargeBodies sends 40 request bodies of 32 MB at once through a node with 192 MB of memory and receives
// 40 answers of 32 MB. It reports the peak memory and descriptor count of the node's process:
//
//	go test -run xxx -bench LargeBodies -benchtime 1x ./cmd/otterstep
func BenchmarkLargeBodies(b *testing.B) {
	piece := bytes.Repeat([]byte("x"), 1<<20)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			n, _ := io.Copy(io.Discard, r.Body)
			fmt.Fprint(w, n)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(largeBody))
		for range largeBody / len(piece) {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}))
	defer backend.Close()
	addr, discovery := freeAddress(b), startDiscovery(b, 8, backend.Listener.Addr().String())
	var log bytes.Buffer
	cmd := program(configFile(b, func(c map[string]any) {
		c["listen"], c["discovery"] = addr, discovery
		c["settings"] = map[string]any{"Classes": []any{
			map[string]any{"Name": "push", "DeadlineMs": 60000, "PromiseMs": 60000, "Effect": "side_effect"},
			map[string]any{"Name": "read", "DeadlineMs": 60000, "PromiseMs": 60000, "Effect": "pure"},
		}, "Limits": map[string]any{"MaxAttempts": 2}}
	}))
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); _ = cmd.Wait() }()
	awaitUp(b, addr, &log)
	ids, files := 0, 0
	for b.Loop() {
		var all sync.WaitGroup
		var mu sync.Mutex
		completed, refused := 0, 0
		for i := range 80 {
			ids++
			method, class, body := http.MethodPost, "push", io.Reader(io.LimitReader(&endless{piece}, largeBody))
			if i%2 == 1 {
				method, class, body = http.MethodGet, "read", nil
			}
			r, err := http.NewRequest(method, "http://"+addr+"/"+class+"/x", body)
			if err != nil {
				b.Fatal(err)
			}
			for name, value := range map[string]string{"X-Correlation-Id": fmt.Sprint("l", ids), "X-Service-Class": class, "X-Time-Left": "60"} {
				r.Header.Set(name, value)
			}
			all.Go(func() {
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					b.Error(err)
					return
				}
				defer resp.Body.Close()
				var text bytes.Buffer
				n, err := io.Copy(&text, io.LimitReader(resp.Body, 1<<10))
				if err == nil && method == http.MethodGet {
					var rest int64
					rest, err = io.Copy(io.Discard, resp.Body)
					n += rest
				}
				mu.Lock()
				defer mu.Unlock()
				switch {
				case resp.StatusCode == http.StatusServiceUnavailable:
					refused++
				case err == nil && (n == largeBody || text.String() == strconv.Itoa(largeBody)):
					completed++
				default:
					b.Errorf("%s: %s, %d bytes, %v", method, resp.Status, n, err)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid)); err == nil {
			files = max(files, len(entries))
		}
		all.Wait()
		b.ReportMetric(float64(completed), "whole")
		b.ReportMetric(float64(refused), "refused")
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			b.ReportMetric(float64(kb)/1024, "MB-most")
		}
	}
	b.ReportMetric(float64(files), "descriptors")
}

// endless is a reader that repeats piece without end.
type endless struct{ piece []byte }

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) { return copy(p, e.piece), nil }
