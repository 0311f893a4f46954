package peer

import "testing"

// TestQueue checks the order of messages, the bound, and that an empty queue keeps little memory, since
// there is one for each router of the fleet.
func TestQueue(t *testing.T) {
	q := newQueue()
	if cap(q.messages) > 0 {
		t.Errorf("a new queue has room for %d messages", cap(q.messages))
	}
	for i := range outboxSize {
		if !q.push(i) {
			t.Fatalf("the queue is full with %d messages", i)
		}
	}
	if q.push(0) {
		t.Error("a full queue takes a message")
	}
	next := 0
	for {
		select {
		case <-q.ready:
		default:
			if next != outboxSize {
				t.Fatalf("no more messages after %d", next)
			}
			if got := cap(q.messages); got > maxKeptQueue {
				t.Errorf("an empty queue keeps room for %d messages", got)
			}
			if got := q.take(batchSize); len(got) > 0 {
				t.Errorf("%d messages taken from an empty queue", len(got))
			}
			return
		}
		for _, msg := range q.take(batchSize) {
			if msg != next {
				t.Fatalf("message %v, want %d", msg, next)
			}
			next++
		}
	}
}
