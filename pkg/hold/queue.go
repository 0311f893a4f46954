package hold

import (
	"container/heap"
	"time"
)

// priorityLead is how much later a request may arrive and still go first for
// each step of priority. As it is finite, no priority starves another.
const priorityLead = 2 * time.Second

// request is one caller's request while this router holds it.
type request struct {
	Arrive
	// arrived is the time of the first arrival, before any retry.
	arrived time.Duration
	// turn orders the account's queue: arrival less the priority's lead.
	turn time.Duration
	// index is the place in the queue, -1 when not waiting.
	index int
	// held is the lease that the request runs on, nil while it waits.
	held *held
}

// queue is an account's waiting requests for one model, by turn.
type queue []*request

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].turn != q[j].turn {
		return q[i].turn < q[j].turn
	}
	return q[i].ID < q[j].ID
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	r := x.(*request)
	r.index = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	r.index = -1
	return r
}

func (q *queue) add(r *request) { heap.Push(q, r) }

func (q *queue) remove(r *request) { heap.Remove(q, r.index) }

func (q *queue) next() *request { return heap.Pop(q).(*request) }
