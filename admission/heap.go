package admission

import "cmp"

// requestHeap is a heap of one account's requests by turn, then by deadline or by
// arrival.
type requestHeap struct {
	requests     []*request
	arrivalOrder bool
}

func (h *requestHeap) Len() int { return len(h.requests) }

func (h *requestHeap) Less(i, j int) bool { return h.compare(h.requests[i], h.requests[j]) < 0 }

// compare orders two requests by when they are to start.
func (h *requestHeap) compare(a, b *request) int {
	if d := cmp.Compare(a.turn, b.turn); d != 0 {
		return d
	}
	if d := a.Deadline.Compare(b.Deadline); d != 0 && !h.arrivalOrder {
		return d
	}
	return cmp.Compare(a.ID, b.ID)
}

func (h *requestHeap) Swap(i, j int) {
	h.requests[i], h.requests[j] = h.requests[j], h.requests[i]
	h.requests[i].accountIndex, h.requests[j].accountIndex = i, j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*request)
	r.accountIndex = len(h.requests)
	h.requests = append(h.requests, r)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	n := len(h.requests) - 1
	r := h.requests[n]
	h.requests[n] = nil
	h.requests = h.requests[:n]
	return r
}

// deadlineHeap is a heap of requests by deadline.
type deadlineHeap []*request

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].ID < h[j].ID
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].rankIndex, h[j].rankIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.rankIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	n := len(*h) - 1
	r := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return r
}

// accountHeap is a heap of accounts by used slot time.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].served != h[j].served {
		return h[i].served < h[j].served
	}
	a, b := h[i].waiting.requests, h[j].waiting.requests
	if len(a) == 0 || len(b) == 0 {
		return len(a) < len(b)
	}
	return a[0].ID < b[0].ID
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	n := len(*h) - 1
	a := (*h)[n]
	(*h)[n] = nil
	a.index = -1
	*h = (*h)[:n]
	return a
}
