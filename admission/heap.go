package admission

// byOrder is a heap of one caller's requests.
type byOrder struct {
	l       []*request
	arrival bool
}

func (h *byOrder) Len() int { return len(h.l) }

func (h *byOrder) Less(i, j int) bool {
	a, b := h.l[i], h.l[j]
	if !h.arrival && !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ID < b.ID
}

func (h *byOrder) Swap(i, j int) {
	h.l[i], h.l[j] = h.l[j], h.l[i]
	h.l[i].own, h.l[j].own = i, j
}

// Push implements heap.Interface.
func (h *byOrder) Push(x any) {
	r := x.(*request)
	r.own = len(h.l)
	h.l = append(h.l, r)
}

// Pop implements heap.Interface.
func (h *byOrder) Pop() any {
	n := len(h.l) - 1
	r := h.l[n]
	h.l[n] = nil
	h.l = h.l[:n]
	return r
}

// byDeadline is a heap of requests.
type byDeadline []*request

func (h byDeadline) Len() int { return len(h) }

func (h byDeadline) Less(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].ID < h[j].ID
}

func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].all, h[j].all = i, j
}

// Push implements heap.Interface.
func (h *byDeadline) Push(x any) {
	r := x.(*request)
	r.all = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *byDeadline) Pop() any {
	n := len(*h) - 1
	r := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return r
}

// byServed is a heap of callers that wait.
type byServed []*account

func (h byServed) Len() int { return len(h) }

func (h byServed) Less(i, j int) bool {
	if h[i].served != h[j].served {
		return h[i].served < h[j].served
	}
	a, b := h[i].waiting.l, h[j].waiting.l
	if len(a) == 0 || len(b) == 0 {
		return len(a) < len(b)
	}
	return a[0].ID < b[0].ID
}

func (h byServed) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push implements heap.Interface.
func (h *byServed) Push(x any) {
	a := x.(*account)
	a.at = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *byServed) Pop() any {
	n := len(*h) - 1
	a := (*h)[n]
	(*h)[n] = nil
	a.at = -1
	*h = (*h)[:n]
	return a
}
