package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
)

// call is what a client asked of the council or of an agent.
type call struct {
	object string // "council" or an agent's name
	what   string // acquire, renew, release or raise
	owner  string
	token  protocol.Token
}

// answer is what it heard; without one, whether it was done is not known.
type answer struct {
	known, yes bool
	token      protocol.Token
}

// fenced is the council's duty, or the token at an agent.
type fenced struct {
	owner string
	token protocol.Token
}

// fencing is what the council and agents promise, whatever fails between the processes:
// tokens go up by one, only the newest is renewed or released, and an agent that has seen a
// token takes no lower one.
var fencing = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range history {
			name := o.Input.(call).object
			by[name] = append(by[name], o)
		}
		var all [][]porcupine.Operation
		for _, part := range by {
			all = append(all, part)
		}
		return all
	},
	Init: func() []any { return []any{fenced{}} },
	Step: func(state, input, output any) []any {
		is, c, a := state.(fenced), input.(call), output.(answer)
		done, able := is, false
		switch c.what {
		case "acquire":
			done, able = fenced{c.owner, is.token + 1}, !a.known || a.token == is.token+1
		case "renew":
			able = is.owner == c.owner && is.token == c.token
		case "release":
			done, able = fenced{"", is.token}, is.owner != "" && is.token == c.token
		case "raise":
			done, able = fenced{"", max(is.token, c.token)}, c.token >= is.token
		}
		switch {
		case !a.known && able:
			return []any{is, done}
		case !a.known, !a.yes && c.what != "raise": // a lease may be over: time is not in this model
			return []any{is}
		case a.yes == able:
			if !a.yes {
				return []any{is}
			}
			return []any{done}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// heard turns an error into an answer.
func heard(err error) answer {
	var refused *protocol.Error
	switch {
	case err == nil:
		return answer{known: true, yes: true}
	case errors.As(err, &refused) && refused.Code != protocol.CodeNoCouncil && refused.Code != protocol.CodeForgetful: // the latter says nothing of tokens
		return answer{known: true}
	}
	return answer{}
}

// Four clients take, keep, lose and give back a duty through real agents, and raise their
// tokens at each, while the leader is killed, agents are stopped and ways are cut. The history
// of all calls fits the model.
func TestHistoriesOfDuties(t *testing.T) {
	t.Parallel()
	w := councilLab(t, nil)
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	note := func(client int, c call, do func(ctx context.Context) answer) answer {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		from := time.Since(began)
		a := do(ctx)
		to := time.Since(began)
		if !a.known {
			to = time.Hour // it may yet be done
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: c, Output: a, Call: int64(from), Return: int64(to)})
		return a
	}
	end := began.Add(12 * time.Second)
	var work sync.WaitGroup
	for n := range 4 {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 32))
			name := fmt.Sprint("client", n)
			client := n * 1000
			for time.Now().Before(end) {
				want := duty.Acquire{Duty: "history", Owner: name}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				offer, err := w.Fleet.Do(ctx, duty.Command{Acquire: &want})
				cancel()
				if err != nil || offer.Offer == "" {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				want.Offer = offer.Offer
				client++ // each call of which no answer came goes on beside the next
				a := note(client, call{object: "council", what: "acquire", owner: name}, func(ctx context.Context) answer {
					got, err := w.Fleet.Do(ctx, duty.Command{Acquire: &want})
					a := heard(err)
					a.token, a.yes = got.Token, got.Token != 0
					// On its way it may have been asked twice: a new offer then says nothing of the
					// first time.
					a.known = a.known && (a.yes || got.Left > 0)
					return a
				})
				if !a.yes {
					continue
				}
				f := duty.Fence{Duty: "history", Token: a.token}
				for i := range 1 + rng.IntN(3) {
					for _, k := range w.Fleet.All() {
						client++
						note(client, call{object: k.Name(), what: "raise", token: a.token}, func(ctx context.Context) answer {
							_, err := k.Raise(ctx, f)
							return heard(err)
						})
					}
					client++
					note(client, call{object: "council", what: "renew", owner: name, token: a.token}, func(ctx context.Context) answer {
						v, err := w.Fleet.View(ctx)
						if err != nil || w.Fleet.Agent(v.Leader) == nil {
							return answer{}
						}
						return heard(w.Fleet.Agent(v.Leader).CouncilRenew(ctx, duty.Renewal{Fence: f}))
					})
					time.Sleep(time.Duration(rng.IntN(int(testLease)*(1+i)) / 4))
				}
				if rng.IntN(2) == 0 {
					client++
					note(client, call{object: "council", what: "release", owner: name, token: a.token}, func(ctx context.Context) answer {
						_, err := w.Fleet.Do(ctx, duty.Command{Release: &duty.Release{Fence: f}})
						a := heard(err)
						a.known = a.yes // likewise: a refusal may be of the second time
						return a
					})
				}
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(testLease / 2)
		v, err := w.Fleet.View(w.ctx(time.Second))
		if err != nil || v.Leader == "" {
			continue
		}
		if n%2 == 0 {
			w.KillAgent(number(v.Leader))
			if err := w.StartAgent(number(v.Leader), false); err != nil {
				t.Error(err)
			}
		} else {
			w.Apart(true, v.Leader)
			time.Sleep(testLease / 2)
			w.Apart(false, v.Leader)
		}
	}
	work.Wait()
	model := fencing.ToModel()
	if got := porcupine.CheckOperationsTimeout(model, history, time.Minute); got != porcupine.Ok {
		t.Errorf("%d calls: %v", len(history), got)
	}
	tokens := 0
	for _, o := range history {
		if a := o.Output.(answer); o.Input.(call).what == "acquire" && a.yes {
			tokens++
		}
	}
	if tokens < 4 {
		t.Errorf("the duty was taken %d times only, in %d calls", tokens, len(history))
	}
	// The same with one answer changed: a token given twice.
	given := map[protocol.Token]bool{}
	for _, o := range history {
		if a := o.Output.(answer); o.Input.(call).what == "acquire" && a.yes {
			given[a.token] = true
		}
	}
	i := slices.IndexFunc(history, func(o porcupine.Operation) bool {
		a := o.Output.(answer)
		// The one before is known to have been given: one whose answer was lost may not have been.
		return o.Input.(call).what == "acquire" && a.yes && given[a.token-1]
	})
	if i < 0 {
		t.Fatal("no two tokens in a row were answered")
	}
	spoilt := slices.Clone(history)
	a := spoilt[i].Output.(answer)
	a.token--
	spoilt[i].Output = a
	if got := porcupine.CheckOperationsTimeout(model, spoilt, time.Minute); got != porcupine.Illegal {
		t.Errorf("a token that was given twice: %v", got)
	}
	t.Logf("%d calls, %d tokens", len(history), tokens)
}
