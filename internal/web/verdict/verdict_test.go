package verdict

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"otterstep/policy"
)

// Only answers that state that the request has not run count as Full, whatever the status;
// answers streamed to the client at once count as successes of their server.
func TestEveryStatus(t *testing.T) {
	for code := 100; code < 1000; code++ {
		for _, h := range []http.Header{{}, {"X-Unprocessed": {"1"}}, {"Grpc-Status": {"14"}}, {"Retry-After": {"1"}}} {
			v := Of(code, h)
			switch {
			case v.Status == policy.Full && (h.Get("X-Unprocessed") != "1" || code != 503 && code != 504):
				t.Errorf("%d %v counts as not run", code, h)
			case v.Status == policy.OK && v.Retryable, v.Status == policy.Error && !v.Retryable:
				t.Errorf("%d %v: %+v", code, h, v)
			case code < 200 && v.Status != policy.Reset:
				t.Errorf("%d: %+v", code, v)
			case code == 429 && v.Status != policy.OK:
				t.Errorf("429 counts against the server")
			}
		}
	}
}

// The operators' documentation must list exactly the rows of Table.
func TestDocumentationMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operate/web.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range Table {
		codes := fmt.Sprint(r.From)
		if r.To != r.From {
			codes = fmt.Sprintf("%d to %d", r.From, r.To)
		}
		counted, retryable := "no", "no"
		if r.Status == policy.Error {
			counted = "yes"
		}
		if r.Retryable {
			retryable = "yes"
		}
		if want := fmt.Sprintf("| %s | %s | %s | %s | %s |", codes, r.Field, counted, retryable, r.Reason); !strings.Contains(string(page), want) {
			t.Errorf("docs/operate/web.md lacks the row\n%s", want)
		}
	}
}
