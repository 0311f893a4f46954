// Package fair keeps virtual time: the weighted service of each client
// account. The account with the least is the next to be served.
package fair

import "container/heap"

// Account is one account's place in virtual time.
type Account struct {
	// Name is the client account.
	Name string
	// Weight is above zero.
	Weight float64
	// VirtualTime is the service charged divided by the weight, plus lifts.
	VirtualTime float64
	// Active says that the account has work waiting; index is then its
	// place in the heap, and -1 otherwise.
	Active bool
	index  int
}

// Queue orders the active accounts by virtual time.
type Queue struct {
	accounts map[string]*Account
	heap     order
	// floor is the greatest least virtual time seen; it never falls.
	floor float64
	// debt bounds how far above the floor a returning account may start.
	debt float64
}

// Option changes a new Queue.
type Option func(*Queue)

// WithDebt bounds, in virtual tokens, what a returning account still owes.
func WithDebt(tokens float64) Option {
	return func(q *Queue) { q.debt = tokens }
}

// DefaultDebt is the bound on what a returning account still owes, in tokens
// per unit of weight.
const DefaultDebt = 50_000

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{accounts: map[string]*Account{}, debt: DefaultDebt}
	for _, o := range opts {
		o(q)
	}
	return q
}

// Get returns the account, made with weight 1 on first use.
func (q *Queue) Get(name string) *Account {
	a, ok := q.accounts[name]
	if !ok {
		a = &Account{Name: name, Weight: 1, VirtualTime: q.floor, index: -1}
		q.accounts[name] = a
	}
	return a
}

// SetWeight changes an account's weight from now on; a weight that is not
// above zero is ignored.
func (q *Queue) SetWeight(name string, weight float64) {
	if weight > 0 {
		q.Get(name).Weight = weight
	}
}

// Activate puts an account with work among those to be served. If lift is
// set, it starts no lower than the least active one and owes at most the
// queue's debt.
func (q *Queue) Activate(name string, lift bool) {
	a := q.Get(name)
	if a.Active {
		return
	}
	if lift {
		a.VirtualTime = min(max(a.VirtualTime, q.MinVirtualTime()), q.MinVirtualTime()+q.debt)
	}
	a.Active = true
	heap.Push(&q.heap, a)
}

// Deactivate takes an account without work out.
func (q *Queue) Deactivate(name string) {
	a, ok := q.accounts[name]
	if !ok || !a.Active {
		return
	}
	q.MinVirtualTime()
	a.Active = false
	heap.Remove(&q.heap, a.index)
}

// Charge adds tokens, possibly negative, to an account's service.
func (q *Queue) Charge(name string, tokens float64) {
	a := q.Get(name)
	a.VirtualTime += tokens / a.Weight
	if a.Active {
		heap.Fix(&q.heap, a.index)
	}
}

// MinVirtualTime returns the least virtual time of the active accounts, or the last
// such value if none is active.
func (q *Queue) MinVirtualTime() float64 {
	if len(q.heap) > 0 && q.heap[0].VirtualTime > q.floor {
		q.floor = q.heap[0].VirtualTime
	}
	return q.floor
}

// Min returns the active account with the least virtual time.
func (q *Queue) Min() (*Account, bool) {
	if len(q.heap) == 0 {
		return nil, false
	}
	return q.heap[0], true
}

// Accounts returns how many accounts the queue remembers.
func (q *Queue) Accounts() int { return len(q.accounts) }

// Drop forgets an account that is not active.
func (q *Queue) Drop(name string) {
	if a, ok := q.accounts[name]; ok && !a.Active {
		delete(q.accounts, name)
	}
}

// order is a heap of accounts; equal times go by name, so runs repeat.
type order []*Account

func (o order) Len() int { return len(o) }

func (o order) Less(i, j int) bool {
	if o[i].VirtualTime != o[j].VirtualTime {
		return o[i].VirtualTime < o[j].VirtualTime
	}
	return o[i].Name < o[j].Name
}

func (o order) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].index = i
	o[j].index = j
}

// Push implements heap.Interface.
func (o *order) Push(x any) {
	a := x.(*Account)
	a.index = len(*o)
	*o = append(*o, a)
}

// Pop implements heap.Interface.
func (o *order) Pop() any {
	old := *o
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*o = old[:len(old)-1]
	a.index = -1
	return a
}
