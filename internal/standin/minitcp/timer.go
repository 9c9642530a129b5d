package minitcp

import (
	"container/heap"
	"time"
)

// Timer runs a function once. The zero value is a stopped timer.
type Timer struct {
	dueAt time.Duration
	run   func()
	index int // position in the heap plus one; 0 when stopped
}

// timerHeap orders timers by time; it implements heap.Interface.
type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h) + 1
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = 0
	return t
}

func (h *timerHeap) schedule(t *Timer, at time.Duration) {
	t.dueAt = at
	if t.index > 0 {
		heap.Fix(h, t.index-1)
		return
	}
	heap.Push(h, t)
}

func (h *timerHeap) stop(t *Timer) {
	if t.index > 0 {
		heap.Remove(h, t.index-1)
	}
}

// popDue removes and returns the next timer that is due, or nil.
func (h *timerHeap) popDue(now time.Duration) *Timer {
	if len(*h) == 0 || (*h)[0].dueAt > now {
		return nil
	}
	return heap.Pop(h).(*Timer)
}
