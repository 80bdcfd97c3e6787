package admission

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

const (
	// returnFraction is the fraction of the slots that returning callers may need, so
	// that they leave room for new ones.
	returnFraction = 0.5
	// maxReturnDelay bounds how far ahead callers are scheduled beyond the predicted
	// wait. Most bursts are over by then.
	maxReturnDelay = 4 * time.Second
)

// returnSchedule spreads the returns of refused callers: each gets the next time at
// which the backend server can take another one, after those of its rank and of more
// urgent ranks that were refused before. The load that it answers is a burst that ends:
// callers that are all told the same would form the next one, and urgent ones would
// return with the rest.
type returnSchedule struct {
	// last is the latest time that was assigned in each rank.
	last [bundle.RankCount]time.Time
}

// assign returns when a refused caller is to return, which is at least after d.
func (s *returnSchedule) assign(q *Queue, r *request, d time.Duration, now time.Time) time.Duration {
	at := now.Add(d)
	for i := bundle.Urgent; i <= r.Rank; i++ {
		if t := s.last[i]; t.After(at) {
			at = t
		}
	}
	step := float64(q.slotTime[r.Rank]) / (returnFraction * float64(max(q.slotLimit(r.Rank), 1)))
	at = at.Add(time.Duration(2 * r.Jitter * step))
	if m := now.Add(d + maxReturnDelay); at.After(m) {
		// The schedule is full: the rest is spread over it.
		return min(d+time.Duration(r.Jitter*float64(maxReturnDelay)), maxRetryAfter)
	}
	s.last[r.Rank] = at
	return min(at.Sub(now), maxRetryAfter)
}
