package dispatch

// fifo is a queue. Its zero value is empty.
type fifo[T any] struct {
	items []T
	head  int // index of the first item
}

func (q *fifo[T]) len() int { return len(q.items) - q.head }

// at returns item i, counted from the first.
func (q *fifo[T]) at(i int) T { return q.items[q.head+i] }

func (q *fifo[T]) push(x T) { q.items = append(q.items, x) }

// pop removes the first item and returns it.
func (q *fifo[T]) pop() T {
	var zero T
	x := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	if q.head > len(q.items)/2 {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	return x
}
