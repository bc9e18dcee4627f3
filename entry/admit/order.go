package admit

import (
	"container/heap"

	"azuredoor.example/core/config"
)

// shortWorkBias is how many seconds each second of expected service time adds to the deadline in the sort key under
// overload.
const shortWorkBias = 8

// sortKey returns the key that orders the requests of a flow: the sequence of arrival, or under the goodput objective
// the latest start in seconds. Under overload, the goodput key also favours short work.
func (q *Queue) sortKey(item *Item) float64 {
	if q.objective != config.Goodput {
		return float64(item.sequence)
	}
	key := float64(item.LatestStart.UnixMicro()) / 1e6
	if q.contended {
		key += shortWorkBias * float64(item.Work) * q.holdPerWork
	}
	return key
}

// reorder recomputes the sort keys of all waiting requests and rebuilds the heaps.
func (q *Queue) reorder() {
	for _, c := range q.customerList {
		for _, f := range c.flows {
			if f == nil {
				continue
			}
			for _, item := range f.items {
				item.sortKey = q.sortKey(item)
			}
			heap.Init(&f.items)
		}
	}
	for i := range q.classes {
		q.classes[i].flows.bySortKey = q.objective == config.Goodput
		heap.Init(&q.classes[i].flows)
	}
}

// itemHeap orders the requests of a flow by sort key, then by sequence.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	return h[i].sortKey < h[j].sortKey || h[i].sortKey == h[j].sortKey && h[i].sequence < h[j].sequence
}
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].flowIndex, h[j].flowIndex = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.flowIndex = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}

// flowHeap orders the flows of a class by start tag, or by the sort key of their first item.
type flowHeap struct {
	flows     []*flow
	bySortKey bool
}

func (h *flowHeap) Len() int { return len(h.flows) }
func (h *flowHeap) Less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	if h.bySortKey {
		return a.items[0].sortKey < b.items[0].sortKey
	}
	return a.startTag < b.startTag || a.startTag == b.startTag && a.items[0].sequence < b.items[0].sequence
}
func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].classIndex, h.flows[j].classIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.classIndex = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.classIndex = -1
	return f
}

// deadlineHeap orders the waiting requests by latest start.
type deadlineHeap []*Item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].LatestStart.Before(h[j].LatestStart) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	item := x.(*Item)
	item.deadlineIndex = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}
