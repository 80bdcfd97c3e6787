package admission

import (
	"cmp"
	"slices"
	"time"
)

// A running request is late once lateAfter requests that started after it have ended and
// it has run for lateFactor times the mean slot time of its rank; it is overdue at
// overdueAfter and overdueFactor.
const (
	lateAfter     = 4
	lateFactor    = 3
	overdueAfter  = 8
	overdueFactor = 8
	// progressTime is how long after the last answer a backend server is tried with one
	// more request while all that run take long.
	progressTime = 500 * time.Millisecond
)

// Overdue reports that the answer to a running request is probably lost.
type Overdue struct{ ID uint64 }

func (Overdue) action() {}

// countOvertaken records that a request has ended, for those that started before it. The
// load that it answers is a backend server that loses a part of its answers: each lost
// one would hold a slot until the deadline, while the server is idle. A late request
// takes no slot any more; if the server still works on it, the next one waits there.
func (q *Queue) countOvertaken(ended *request, now time.Time) []Action {
	if !q.config.LostAnswers {
		return nil
	}
	var o []Action
	for _, r := range q.running {
		if r.overdue || r.order >= ended.order {
			continue
		}
		r.overtaken++
		if !r.late && r.overtaken >= lateAfter && q.runsFor(r, lateFactor, now) {
			r.late = true
			q.late++
		}
		if r.overtaken >= overdueAfter && q.runsFor(r, overdueFactor, now) {
			r.overdue = true
			o = append(o, Overdue{ID: r.ID})
		}
	}
	slices.SortFunc(o, func(a, b Action) int { return cmp.Compare(a.(Overdue).ID, b.(Overdue).ID) })
	return o
}

// runsFor reports whether a running request has run for a multiple of the mean slot time.
func (q *Queue) runsFor(r *request, factor time.Duration, now time.Time) bool {
	return now.Sub(r.started) >= factor*max(q.slotTime[r.Rank], initialSlotTime)
}

// occupied returns the number of slots that are taken. While the answers to all requests
// in the slots may be lost, one slot counts as free: the next request shows whether the
// server still answers.
func (q *Queue) occupied(now time.Time) int {
	n := len(q.running) - q.late
	if !q.config.LostAnswers || n < q.config.Slots || now.Sub(q.answeredAt) > progressTime {
		return n
	}
	for _, r := range q.running {
		if !r.late && !q.runsFor(r, overdueFactor, now) {
			return n
		}
	}
	return q.config.Slots - 1
}
