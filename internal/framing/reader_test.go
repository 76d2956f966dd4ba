package framing

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"otterstep/internal/membudget"
)

// pieces returns a text in random pieces.
type pieces struct {
	text []byte
	rng  *rand.Rand
	most int
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.text) == 0 {
		return 0, io.EOF
	}
	n := min(len(b), len(p.text), 1+p.rng.IntN(p.most))
	copy(b, p.text[:n])
	p.text = p.text[n:]
	return n, nil
}

func testLimits(b *membudget.Budget) Limits {
	return Limits{HeadBytes: 8 << 10, Fields: 100, RequestBytes: 1 << 10, Heads: b.Account("heads", 0.5), Requests: b.Account("requests", 0.5)}
}

// However requests are split and read, and wherever net/http looks a byte ahead, all bytes come through unchanged and in
// order, no read ends within a head but such a look, and in the end nothing is reserved.
func TestReaderPassesAllBytes(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var text strings.Builder
		for n := range 1 + rng.IntN(5) {
			body := strings.Repeat("b\r\n\r\n", rng.IntN(300))
			fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: a\r\n%s", n, strings.Repeat("X-A: b\r\n", rng.IntN(90)))
			if rng.IntN(2) == 0 {
				fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
			} else {
				fmt.Fprintf(&text, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body)+1, body+"c")
			}
		}
		budget := membudget.New(1 << 20)
		r := NewReader(&pieces{[]byte(text.String()), rng, 1 + rng.IntN(3000)}, testLimits(budget))
		var got bytes.Buffer
		var seen Checker
		for {
			b := make([]byte, []int{1, 512, 4096}[rng.IntN(3)])
			n, err := r.Read(b)
			got.Write(b[:n])
			if whole := seen.Observe(b[:n]); whole < n && len(b) > 1 && len(r.ready) == 0 && err == nil && n < len(b) {
				t.Fatalf("seed %d: a read ends within a head", seed)
			}
			if err != nil {
				break
			}
		}
		if got.String() != text.String() || r.rejected.Load() != nil {
			t.Fatalf("seed %d: %d bytes came through of %d", seed, got.Len(), text.Len())
		}
		r.Close()
		for _, u := range budget.Inspect() {
			if u.Held != 0 {
				t.Errorf("seed %d: left behind: %+v", seed, u)
			}
		}
	}
}

// Guards against heads that take many times their size in memory: one beyond a limit is rejected as soon as that is known,
// in whatever pieces it comes, while the request before it on the connection is served.
func TestReaderRejectsLargeHeads(t *testing.T) {
	sound := "GET /sound HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, c := range map[string]struct {
		head   string
		budget int64
		want   string
	}{
		"fields":            {"GET / HTTP/1.1\r\n" + strings.Repeat("a:b\r\n", 101), 1 << 20, "head: over 100 fields"},
		"fields, whole":     {"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:b\r\n", 101) + "\r\n", 1 << 20, "head: over 100 fields"},
		"bytes":             {"GET /" + strings.Repeat("x", 9<<10), 1 << 20, "head: over 8192 bytes"},
		"bytes of a length": {"GET / HTTP/1.1\r\nContent-Length: x\r\n" + strings.Repeat("a:b\r\n", 101), 1 << 20, "head: over 100 fields"},
		"no HTTP/2":         {"GET / HTTP/2.0\r\n" + strings.Repeat("a:b\r\n", 101), 1 << 20, "head: over 100 fields"},
		"memory":            {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 6<<10), 8 << 10, ErrNoMemory.Error()},
		"memory, whole":     {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 3<<10) + "\r\n\r\n", 8 << 10, ErrNoMemory.Error()},
	} {
		t.Run(name, func(t *testing.T) {
			budget := membudget.New(c.budget)
			limits := testLimits(budget)
			r := NewReader(io.MultiReader(iotest.OneByteReader(strings.NewReader(sound)), strings.NewReader(c.head), strings.NewReader("more")), limits)
			in := bufio.NewReader(r)
			first, err := http.ReadRequest(in)
			if err != nil || first.URL.Path != "/sound" || r.Rejected(first) != nil {
				t.Fatalf("the sound request: %v, %v", first, err)
			}
			second, err := http.ReadRequest(in)
			if err != nil {
				t.Fatal(err)
			}
			if reason := r.Rejected(second); reason == nil || reason.Error() != c.want {
				t.Errorf("rejected for %v, want %s", reason, c.want)
			}
			if n, err := in.Read(make([]byte, 10)); n > 0 || !errors.Is(err, io.EOF) {
				t.Errorf("%d bytes behind the rejected request, %v", n, err)
			}
			r.Close()
			for _, u := range budget.Inspect() {
				if u.Held != 0 {
					t.Errorf("left behind: %+v", u)
				}
			}
		})
	}
}

// A request's memory is held until the next one is awaited, and a read that ends by a deadline may go on.
func TestReaderHoldsARequestsMemory(t *testing.T) {
	budget := membudget.New(1 << 20)
	near, far := io.Pipe()
	r := NewReader(iotest.TimeoutReader(near), testLimits(budget))
	held := func() int64 { return budget.Inspect()[1].Held }
	go io.WriteString(far, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	b := make([]byte, 4096)
	if n, err := r.Read(b); n == 0 || err != nil || held() < 1<<10 {
		t.Fatalf("%d bytes, %v, %d held", n, err, held())
	}
	if _, err := r.Read(b[:1]); !errors.Is(err, iotest.ErrTimeout) || held() == 0 {
		t.Errorf("a look during the request: %v, %d held", err, held())
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = r.Read(b) // until the end of the test
	}()
	defer func() { near.Close(); <-ended }()
	if _, err := io.WriteString(far, "GET /2 HTTP/1.1\r\n"); err != nil || held() != 0 {
		t.Errorf("%v, %d held while the next request is awaited", err, held())
	}
}

// Guards against requests whose memory is not counted: net/http reads the first bytes of a connection that may carry
// HTTP/2 apart, which was taken for the wait for the next request.
func TestReaderHoldsARequestsMemoryWhileItIsReadInParts(t *testing.T) {
	budget := membudget.New(1 << 20)
	const head = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
	r := NewReader(strings.NewReader(head), testLimits(budget))
	preface := make([]byte, len("PRI * HTTP/2.0"))
	for read := 0; read < len(head); {
		n, err := r.Read(preface)
		if err != nil {
			t.Fatal(err)
		}
		if read += n; budget.Inspect()[1].Held < 1<<10 {
			t.Errorf("%d bytes are held behind %d of the head", budget.Inspect()[1].Held, read)
		}
	}
	if _, err := r.Read(preface); !errors.Is(err, io.EOF) || budget.Inspect()[1].Held != 0 {
		t.Errorf("%v, %d held while the next request is awaited", err, budget.Inspect()[1].Held)
	}
}
