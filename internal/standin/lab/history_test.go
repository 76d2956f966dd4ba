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

// call is a client's call to the council or to an agent.
type call struct {
	object string // "council" or an agent's name
	kind   string // acquire, renew, release or raise
	owner  string
	token  protocol.Token
}

// answer is the result of a call. Unless known is set, the call may have taken effect or not.
type answer struct {
	known, accepted bool
	token           protocol.Token
}

// fencingState is the state of the duty at the council, or of the token at an agent.
type fencingState struct {
	owner string
	token protocol.Token
}

// fencingModel models the guarantees of the council and of agents, whatever fails between the processes: tokens
// increase by one, only the newest is renewed or released, and an agent that has seen a token accepts no lower one.
var fencingModel = porcupine.NondeterministicModel{
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
	Init: func() []any { return []any{fencingState{}} },
	Step: func(state, input, output any) []any {
		current, c, a := state.(fencingState), input.(call), output.(answer)
		done, allowed := current, false
		switch c.kind {
		case "acquire":
			done, allowed = fencingState{c.owner, current.token + 1}, !a.known || a.token == current.token+1
		case "renew":
			allowed = current.owner == c.owner && current.token == c.token
		case "release":
			done, allowed = fencingState{"", current.token}, current.owner != "" && current.token == c.token
		case "raise":
			done, allowed = fencingState{"", max(current.token, c.token)}, c.token >= current.token
		}
		switch {
		case !a.known && allowed:
			return []any{current, done}
		case !a.known, !a.accepted && c.kind != "raise": // the lease may have ended: the model has no time
			return []any{current}
		case a.accepted == allowed:
			if !a.accepted {
				return []any{current}
			}
			return []any{done}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// toAnswer converts the error of a call to an answer.
func toAnswer(err error) answer {
	var refused *protocol.Error
	switch {
	case err == nil:
		return answer{known: true, accepted: true}
	case errors.As(err, &refused) && refused.Code != protocol.CodeNoCouncil && refused.Code != protocol.CodeForgetful: // these two do not depend on tokens
		return answer{known: true}
	}
	return answer{}
}

// Four clients acquire, renew, lose and release a duty through real agents and raise their tokens at each agent, while
// leaders are killed or cut off. The history of all calls has to be linearizable by the model.
func TestDutyHistoriesFitModel(t *testing.T) {
	t.Parallel()
	w := councilLab(t, nil)
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, c call, do func(ctx context.Context) answer) answer {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		from := time.Since(began)
		a := do(ctx)
		to := time.Since(began)
		if !a.known {
			to = time.Hour // it may still take effect
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
				offer, err := w.Fleet.CouncilSubmit(ctx, duty.Command{Acquire: &want})
				cancel()
				if err != nil || offer.Offer == "" {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				want.Offer = offer.Offer
				client++ // a new client ID, as a call without an answer is concurrent with all later ones
				a := record(client, call{object: "council", kind: "acquire", owner: name}, func(ctx context.Context) answer {
					got, err := w.Fleet.CouncilSubmit(ctx, duty.Command{Acquire: &want})
					a := toAnswer(err)
					a.token, a.accepted = got.Token, got.Token != 0
					// The request may have been sent twice. A new offer in the answer to the second one does not tell
					// whether the first one took effect.
					a.known = a.known && (a.accepted || got.Left > 0)
					return a
				})
				if !a.accepted {
					continue
				}
				f := duty.Fence{Duty: "history", Token: a.token}
				for i := range 1 + rng.IntN(3) {
					for _, k := range w.Fleet.Clients() {
						client++
						record(client, call{object: k.Name(), kind: "raise", token: a.token}, func(ctx context.Context) answer {
							_, err := k.RaiseToken(ctx, f)
							return toAnswer(err)
						})
					}
					client++
					record(client, call{object: "council", kind: "renew", owner: name, token: a.token}, func(ctx context.Context) answer {
						v, err := w.Fleet.View(ctx)
						if err != nil || w.Fleet.Client(v.Leader) == nil {
							return answer{}
						}
						return toAnswer(w.Fleet.Client(v.Leader).CouncilRenew(ctx, duty.Renewal{Fence: f}))
					})
					time.Sleep(time.Duration(rng.IntN(int(testLease)*(1+i)) / 4))
				}
				if rng.IntN(2) == 0 {
					client++
					record(client, call{object: "council", kind: "release", owner: name, token: a.token}, func(ctx context.Context) answer {
						_, err := w.Fleet.CouncilSubmit(ctx, duty.Command{Release: &duty.Release{Fence: f}})
						a := toAnswer(err)
						a.known = a.accepted // likewise, a refusal may be the answer to a repeated request
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
			w.KillAgent(agentIndex(v.Leader))
			if err := w.StartAgent(agentIndex(v.Leader), false); err != nil {
				t.Error(err)
			}
		} else {
			w.Isolate(true, v.Leader)
			time.Sleep(testLease / 2)
			w.Isolate(false, v.Leader)
		}
	}
	work.Wait()
	model := fencingModel.ToModel()
	if got := porcupine.CheckOperationsTimeout(model, history, time.Minute); got != porcupine.Ok {
		t.Errorf("%d calls: %v", len(history), got)
	}
	tokens := 0
	for _, o := range history {
		if a := o.Output.(answer); o.Input.(call).kind == "acquire" && a.accepted {
			tokens++
		}
	}
	if tokens < 4 {
		t.Errorf("the duty was acquired only %d times in %d calls", tokens, len(history))
	}
	// The model has to reject the same history with one answer changed so that a token is granted twice.
	given := map[protocol.Token]bool{}
	for _, o := range history {
		if a := o.Output.(answer); o.Input.(call).kind == "acquire" && a.accepted {
			given[a.token] = true
		}
	}
	i := slices.IndexFunc(history, func(o porcupine.Operation) bool {
		a := o.Output.(answer)
		// The token before must have been granted: without an answer that is unknown.
		return o.Input.(call).kind == "acquire" && a.accepted && given[a.token-1]
	})
	if i < 0 {
		t.Fatal("no two consecutive tokens have answers")
	}
	altered := slices.Clone(history)
	a := altered[i].Output.(answer)
	a.token--
	altered[i].Output = a
	if got := porcupine.CheckOperationsTimeout(model, altered, time.Minute); got != porcupine.Illegal {
		t.Errorf("a token granted twice: %v", got)
	}
	t.Logf("%d calls, %d tokens", len(history), tokens)
}
