package verdict

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"otterstep/policy"
)

// Nothing but what is known not to have run is told as such, whatever the status; what goes
// to the client at once counts for its server.
func TestEveryStatus(t *testing.T) {
	for code := 100; code < 1000; code++ {
		for _, h := range []http.Header{{}, {"X-Unprocessed": {"1"}}, {"Grpc-Status": {"14"}}, {"Retry-After": {"1"}}} {
			v := Of(code, h)
			switch {
			case v.Status == policy.Full && (h.Get("X-Unprocessed") != "1" || code != 503 && code != 504):
				t.Errorf("%d %v has not run?", code, h)
			case v.Status == policy.OK && v.Again, v.Status == policy.Error && !v.Again:
				t.Errorf("%d %v: %+v", code, h, v)
			case code < 200 && v.Status != policy.Reset:
				t.Errorf("%d: %+v", code, v)
			case code == 429 && v.Status != policy.OK:
				t.Errorf("429 counts against its server")
			}
		}
	}
}

// The operators' page has the very table.
func TestPageHasTheTable(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operate/web.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range Table {
		codes := fmt.Sprint(r.From)
		if r.To != r.From {
			codes = fmt.Sprintf("%d to %d", r.From, r.To)
		}
		against, again := "no", "no"
		if r.Status == policy.Error {
			against = "yes"
		}
		if r.Again {
			again = "yes"
		}
		if want := fmt.Sprintf("| %s | %s | %s | %s | %s |", codes, r.Mark, against, again, r.Why); !strings.Contains(string(page), want) {
			t.Errorf("the page lacks\n%s", want)
		}
	}
}
