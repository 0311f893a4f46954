// Package fair implements weighted fair queueing of client accounts by virtual time. The
// active account with the least virtual time is served next.
package fair

import "container/heap"

// Account is the state of a client account in a Queue.
type Account struct {
	Name string
	// Weight is positive.
	Weight float64
	// VirtualTime is the charged service divided by the weight, adjusted by Activate.
	VirtualTime float64
	// Active means that the account has waiting work.
	Active bool
	// index is the position in the heap, -1 if the account is not active.
	index int
}

// Queue orders the active accounts by virtual time.
type Queue struct {
	accounts map[string]*Account
	heap     accountHeap
	// floor is the greatest value so far of the active accounts' least virtual time.
	floor float64
	// debt limits how far above the floor an account may start again.
	debt float64
}

// Option configures a Queue.
type Option func(*Queue)

// WithDebt sets the limit that DefaultDebt describes.
func WithDebt(tokens float64) Option {
	return func(q *Queue) { q.debt = tokens }
}

// DefaultDebt limits how much earlier service counts against an account that becomes active
// again, in tokens per unit of weight.
const DefaultDebt = 50_000

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{accounts: map[string]*Account{}, debt: DefaultDebt}
	for _, o := range opts {
		o(q)
	}
	return q
}

// Get returns the account. It creates an account with weight 1 if there is none.
func (q *Queue) Get(name string) *Account {
	a, ok := q.accounts[name]
	if !ok {
		a = &Account{Name: name, Weight: 1, VirtualTime: q.floor, index: -1}
		q.accounts[name] = a
	}
	return a
}

// SetWeight sets the weight for later charges. It ignores weights that are not positive.
func (q *Queue) SetWeight(name string, weight float64) {
	if weight > 0 {
		q.Get(name).Weight = weight
	}
}

// Activate marks an account as active. If clamp is set, its virtual time is kept between the
// least of the active accounts and that value plus the debt limit.
func (q *Queue) Activate(name string, clamp bool) {
	a := q.Get(name)
	if a.Active {
		return
	}
	if clamp {
		a.VirtualTime = min(max(a.VirtualTime, q.MinVirtualTime()), q.MinVirtualTime()+q.debt)
	}
	a.Active = true
	heap.Push(&q.heap, a)
}

// Deactivate marks an account as having no work.
func (q *Queue) Deactivate(name string) {
	a, ok := q.accounts[name]
	if !ok || !a.Active {
		return
	}
	q.MinVirtualTime()
	a.Active = false
	heap.Remove(&q.heap, a.index)
}

// Charge adds tokens to the service of an account. The number may be negative.
func (q *Queue) Charge(name string, tokens float64) {
	a := q.Get(name)
	a.VirtualTime += tokens / a.Weight
	if a.Active {
		heap.Fix(&q.heap, a.index)
	}
}

// MinVirtualTime returns the least virtual time of the active accounts, but never less than
// it returned before. While no account is active, it keeps its value.
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

// Accounts returns the number of accounts, active or not.
func (q *Queue) Accounts() int { return len(q.accounts) }

// Drop removes an account unless it is active.
func (q *Queue) Drop(name string) {
	if a, ok := q.accounts[name]; ok && !a.Active {
		delete(q.accounts, name)
	}
}

// accountHeap is a heap by virtual time. Ties go by name, so that results are reproducible.
type accountHeap []*Account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].VirtualTime != h[j].VirtualTime {
		return h[i].VirtualTime < h[j].VirtualTime
	}
	return h[i].Name < h[j].Name
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*Account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.index = -1
	return a
}
