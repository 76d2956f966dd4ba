// Package membudget counts the memory that peers can make a process hold, and limits it. All fronts of a process share
// one Budget; each kind of memory has an Account in it, so that one kind cannot take all.
package membudget

import (
	"fmt"
	"sync"
)

// Budget limits the sum of all its accounts. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limit    int64
	held     int64
	accounts []*Account
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// SetLimit changes the limit. What is held beyond it stays until it is released.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Account is one kind of memory. A nil Account has no limit and counts nothing.
type Account struct {
	budget *Budget
	name   string
	share  float64

	// Guarded by the budget's lock.
	held     int64
	refusals int64
}

// Account adds an account that can hold a share of the limit, from 0 to 1. The name is shown to operators.
func (b *Budget) Account(name string, share float64) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account{budget: b, name: name, share: share}
	b.accounts = append(b.accounts, a)
	return a
}

// Reserve takes n bytes, or returns false if they do not fit.
func (a *Account) Reserve(n int64) bool { return a.ReserveWithin(n, 1) }

// ReserveWithin is Reserve within a part, from 0 to 1, of the account's share and of the budget: what can do without
// the bytes leaves the rest to others.
func (a *Account) ReserveWithin(n int64, part float64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	most := part * float64(b.limit)
	if float64(b.held+n) > most || float64(a.held+n) > a.share*most {
		a.refusals++
		return false
	}
	b.held += n
	a.held += n
	return true
}

// Release returns n bytes that were reserved.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
	if a.held -= n; a.held < 0 {
		panic(fmt.Sprintf("membudget: %s releases %d bytes more than it has reserved", a.name, -a.held))
	}
}

// Limit returns how many bytes the account can hold.
func (a *Account) Limit() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return int64(a.share * float64(a.budget.limit))
}

// Usage is the state of one account.
type Usage struct {
	Name     string `json:"name"`
	Held     int64  `json:"held"`  // bytes
	Limit    int64  `json:"limit"` // bytes
	Refusals int64  `json:"refusals"`
}

// Inspect returns the state of all accounts, in the order in which they were added.
func (b *Budget) Inspect() []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := make([]Usage, len(b.accounts))
	for i, a := range b.accounts {
		usage[i] = Usage{Name: a.name, Held: a.held, Limit: int64(a.share * float64(b.limit)), Refusals: a.refusals}
	}
	return usage
}
