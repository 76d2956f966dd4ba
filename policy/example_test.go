package policy_test

import (
	"fmt"
	"time"

	"otterstep/policy"
)

// printer is a Host that prints the actions it is asked for.
type printer struct{ at time.Duration }

func (p *printer) Send(id policy.RequestID, _ policy.ServerID, _ time.Duration) {
	fmt.Println("send request", id)
}
func (p *printer) Cancel(id policy.RequestID, attempt int) { fmt.Println("cancel", id, attempt) }
func (p *printer) Refuse(id policy.RequestID, after time.Duration) {
	fmt.Println("refuse request", id, "retry after", after > 0)
}
func (p *printer) Fail(id policy.RequestID)            { fmt.Println("fail request", id) }
func (p *printer) SetTimer(at time.Duration, _ uint64) { p.at = at }
func (p *printer) WatchList()                          { fmt.Println("watch the list") }

// One request is served, one is retried elsewhere and served, and one is refused
// because no server is left.
func Example() {
	settings := policy.Defaults()
	settings.Classes = []policy.Class{{
		Deadline: 2 * time.Second, Aim: 500 * time.Millisecond, Worth: 1, Effect: policy.Safe,
	}}
	settings.Limits.MaxAttempts = 3
	settings.Limits.MaxRetryAfter = time.Second
	host := &printer{}
	b, err := policy.New(settings, 1, host)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second // any monotonic clock
	b.UpdateServers(now, policy.ListFull, []policy.Entry{
		{Server: 1, State: policy.Ready, Weight: 1},
		{Server: 2, State: policy.Ready, Weight: 1},
	})

	b.Request(now, policy.Request{ID: 1, TimeLeft: 2 * time.Second})
	now += 20 * time.Millisecond
	b.Outcome(now, policy.Outcome{ID: 1, Status: policy.OK, Ended: true, Latency: 20 * time.Millisecond})

	b.Request(now, policy.Request{ID: 2, TimeLeft: 2 * time.Second})
	b.Outcome(now, policy.Outcome{ID: 2, Status: policy.Error, Latency: time.Millisecond})
	for range 10 { // timers trigger the retry after its backoff
		now = max(now, host.at)
		b.Timer(now, 0)
	}
	b.Outcome(now, policy.Outcome{ID: 2, Attempt: 1, Status: policy.OK, Ended: true,
		Latency: 20 * time.Millisecond})

	b.UpdateServers(now, policy.ListFull, nil) // no server is left
	b.Request(now, policy.Request{ID: 3, TimeLeft: 2 * time.Second})

	// Output:
	// send request 1
	// send request 2
	// send request 2
	// refuse request 3 retry after true
}
