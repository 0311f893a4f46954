package peer

import "sync"

// queue holds the messages that wait for a peer. It takes memory only for those that it holds: a router
// has a queue for each router that it ever sent something, most of which are empty.
type queue struct {
	mu       sync.Mutex
	messages []any
	// ready receives a value when messages may wait.
	ready chan struct{}
}

// maxKeptQueue is the capacity that an empty queue keeps.
const maxKeptQueue = 16

func newQueue() *queue { return &queue{ready: make(chan struct{}, 1)} }

// push adds a message. It returns false if the queue is full.
func (q *queue) push(msg any) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) >= outboxSize {
		return false
	}
	q.messages = append(q.messages, msg)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// take removes and returns up to n messages, the oldest first.
func (q *queue) take(n int) []any {
	q.mu.Lock()
	defer q.mu.Unlock()
	n = min(n, len(q.messages))
	taken := append([]any(nil), q.messages[:n]...)
	left := copy(q.messages, q.messages[n:])
	clear(q.messages[left:])
	q.messages = q.messages[:left]
	if left == 0 && cap(q.messages) > maxKeptQueue {
		q.messages = nil
	}
	if left > 0 {
		select {
		case q.ready <- struct{}{}:
		default:
		}
	}
	return taken
}
