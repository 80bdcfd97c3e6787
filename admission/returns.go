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

// step is the time that one returning caller needs.
func (s *returnSchedule) step(q *Queue, r bundle.Rank) float64 {
	return float64(q.slotTime[r]) / (returnFraction * float64(max(q.slotLimit(r), 1)))
}

// next returns the time after the returns of a rank and of more urgent ones, at least
// t.
func (s *returnSchedule) next(r bundle.Rank, t time.Time) time.Time {
	for i := bundle.Urgent; i <= r; i++ {
		if s.last[i].After(t) {
			t = s.last[i]
		}
	}
	return t
}

// assign returns when a refused caller is to return, which is at least after d.
func (s *returnSchedule) assign(q *Queue, r *request, d time.Duration, now time.Time) time.Duration {
	at := s.next(r.Rank, now.Add(d)).Add(time.Duration(2 * r.Jitter * s.step(q, r.Rank)))
	if at.After(now.Add(d + maxReturnDelay)) {
		// The schedule is full: the rest is spread over it.
		return min(d+time.Duration(r.Jitter*float64(maxReturnDelay)), maxRetryAfter)
	}
	s.last[r.Rank] = at
	return min(at.Sub(now), maxRetryAfter)
}

// extend adds the returns of callers that were refused elsewhere.
func (s *returnSchedule) extend(q *Queue, x RefusedElsewhere, now time.Time) {
	if x.Count <= 0 {
		return
	}
	at := s.next(x.Rank, now).Add(time.Duration(float64(x.Count) * s.step(q, x.Rank)))
	if m := now.Add(maxReturnDelay); at.After(m) {
		at = m
	}
	if at.After(s.last[x.Rank]) {
		s.last[x.Rank] = at
	}
}

// Returns returns for each rank the time within which the refused callers are
// scheduled to return.
func (q *Queue) Returns(now time.Time) [bundle.RankCount]time.Duration {
	var o [bundle.RankCount]time.Duration
	for i := range o {
		o[i] = q.returns.next(bundle.Rank(i), now).Sub(now)
	}
	return o
}
