package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// hopelessInterval is the time between two searches for requests that will miss
	// their deadline.
	hopelessInterval = 10 * time.Millisecond
	// stallFactor is how many times the mean slot time must pass without a request
	// that ends in time before the slots count as stalled.
	stallFactor = 8
	// giveUpMargin is the fraction of the predicted wait of a waiting request that must
	// exceed its time left. Predictions assume that other ranks and accounts go on as
	// they do: a request is given up if it isn't likely any more.
	giveUpMargin = 0.75
)

// Stalled reports whether all slots are held and no request has ended in time for
// unusually long, for example because the backend server has stopped to answer.
func (q *Queue) Stalled(now time.Time) bool {
	if len(q.running) < q.config.Slots {
		return false
	}
	for _, r := range q.running {
		if now.Sub(q.progressAt) < stallFactor*q.slotTime[r.Rank] {
			return false
		}
	}
	return true
}

// stall predicts how long it takes until a stalled server gives a request a slot: as
// long again as it is stalled. It is zero for a request that can't be served elsewhere.
func (q *Queue) stall(x *request, now time.Time) time.Duration {
	if !q.config.EarlyRefusal || !x.Elsewhere || !q.Stalled(now) {
		return 0
	}
	return min(now.Sub(q.progressAt), maxRetryAfter)
}

// refuseHopeless refuses waiting requests that are predicted to get a slot too late:
// because slots are stalled, or because more urgent requests have arrived since. Their
// callers may so be served elsewhere while there is time. The load that it answers are
// bursts of more urgent work and backend servers that stop to answer; without it,
// such requests are held until their deadline.
func (q *Queue) refuseHopeless(now time.Time) []Action {
	if !q.config.EarlyRefusal || now.Sub(q.hopelessAt) < hopelessInterval {
		return nil
	}
	q.hopelessAt = now
	var o []Action
	for i, l := range q.ranks {
		if l.len() == 0 {
			continue
		}
		r := l.deadlines[0].Rank
		perSlot := func(d time.Duration) time.Duration { return time.Duration(float64(d) / q.expectedSlots(r, now)) }
		ahead := perSlot(q.workAhead(r))
		for _, x := range l.inOrder(q.slotTime[i]) {
			s, w := q.stall(x, now), ahead+q.expectedSlotTime(x, now)
			if s+time.Duration(giveUpMargin*float64(w)) <= x.Deadline.Sub(now) {
				ahead += perSlot(q.slotTime[i])
				continue
			}
			q.remove(x)
			o = append(o, q.newRefusal(x, s+w, now, Hopeless))
		}
	}
	return o
}

// inOrder returns the waiting requests in the order in which they would start if
// each took the given slot time.
func (l *rankQueue) inOrder(slotTime time.Duration) []*request {
	type start struct {
		at time.Duration
		r  *request
	}
	o := make([]start, 0, l.len())
	for _, a := range l.waiting {
		h := requestHeap{requests: slices.Clone(a.waiting.requests), arrivalOrder: l.arrivalOrder}
		slices.SortFunc(h.requests, h.compare)
		for i, r := range h.requests {
			o = append(o, start{a.served + time.Duration(float64(i)*float64(slotTime)/a.weight), r})
		}
	}
	slices.SortStableFunc(o, func(x, y start) int { return cmp.Compare(x.at, y.at) })
	p := make([]*request, len(o))
	for i, x := range o {
		p[i] = x.r
	}
	return p
}
