package hold

import (
	"container/heap"
	"time"
)

// priorityLead is how much later a request may arrive per step of priority and
// still go first. Because it is finite, no request starves.
const priorityLead = 2 * time.Second

// request is a caller's request at this router.
type request struct {
	Arrive
	// arrived is the time of the first arrival, before any retry.
	arrived time.Duration
	// sortTime orders the queue: the arrival time less the lead of the
	// priority.
	sortTime time.Duration
	// index is the position in the queue, -1 if the request does not wait.
	index int
	// lease is the lease that the request runs on, nil while it waits.
	lease *lease
}

// queue is a heap of an account's waiting requests for one model, by sortTime.
type queue []*request

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].sortTime != q[j].sortTime {
		return q[i].sortTime < q[j].sortTime
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
