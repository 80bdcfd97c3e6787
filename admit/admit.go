// Package admit decides which waiting request a backend server runs next, and
// which requests are refused on arrival. It does no I/O and reads no clock.
package admit

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Timing and limits of the queue.
const (
	// minRetryAfter and maxRetryAfter bound the come-back time.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// initialSlotTime is the slot time assumed before the first request has ended.
	initialSlotTime = 5 * time.Millisecond
	// slotTimeWeight is the weight of the newest sample in the mean slot time.
	slotTimeWeight = 0.1
	// maxSampleFactor bounds a sample to this multiple of the mean, so that a few
	// requests that ran through a freeze don't have others refused.
	maxSampleFactor = 8
	// deadlineDivisor is the greatest part of a request's time to its deadline that
	// the mean slot time is taken for, so that a few slow statements don't shut
	// a rank out.
	deadlineDivisor = 4
	// maxCredit bounds the slot time that a rank can save up.
	maxCredit = 250 * time.Millisecond
	// DefaultMaxWaiting is the number of waiting requests of one rank if the
	// configuration names none.
	DefaultMaxWaiting = 4096
)

// Config holds the limits of one backend server's queue.
type Config struct {
	// Slots is the number of requests that run at a time, besides those of open
	// transactions.
	Slots int
	// Shares holds the least share of slot time for each rank, by rank.
	Shares [bundle.RankCount]float64
	// Reserve is the number of slots that background work leaves free.
	Reserve int
	// MaxWaiting is the greatest number of waiting requests of one rank; zero
	// means DefaultMaxWaiting.
	MaxWaiting int
	// ArrivalOrder serves a caller's requests in order of arrival instead of
	// by deadline.
	ArrivalOrder bool
}

// Event is something that the queue learns.
type Event interface{ event() }

// Arrived tells of a request that wants a slot.
type Arrived struct {
	// ID is unique among the requests in the queue.
	ID     uint64
	Rank   bundle.Rank
	Caller string
	// Deadline is when the answer must have left.
	Deadline time.Time
	// Held marks a request of an open transaction: it starts at once, even while
	// all slots are taken, as the running ones may wait for its locks. Their
	// number is bounded by Transactions.
	Held bool
	// Jitter is a random number from 0 to 1.
	Jitter float64
}

// Finished tells that a started request has freed its slot.
type Finished struct {
	ID uint64
	// Declined tells that the backend server did no work, so that the time says
	// nothing of the slot time of others.
	Declined bool
}

// Withdrawn tells that a waiting request isn't wanted any more.
type Withdrawn struct{ ID uint64 }

// Configured replaces the limits.
type Configured struct{ Config Config }

// Ticked lets time pass.
type Ticked struct{}

func (Arrived) event()    {}
func (Finished) event()   {}
func (Withdrawn) event()  {}
func (Configured) event() {}
func (Ticked) event()     {}

// Action is something that the queue wants done.
type Action interface{ action() }

// Start gives a slot to a request.
type Start struct{ ID uint64 }

// Refuse ends a request that has not been run.
type Refuse struct {
	ID uint64
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
	Reason     Reason
}

// Reason tells why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// Overloaded means that the request could not have met its deadline.
	Overloaded Reason = "overloaded"
	// Expired means that the request waited until it could no longer meet its
	// deadline.
	Expired Reason = "expired"
)

func (Start) action()  {}
func (Refuse) action() {}

// Queue is the queue of one backend server. It is not safe for concurrent use.
type Queue struct {
	c Config
	// ranks hold the waiting requests of each rank.
	ranks [bundle.RankCount]*rankQueue
	// inTransaction are waiting requests of open transactions by rank, in order of
	// arrival.
	inTransaction [bundle.RankCount][]*request
	// waiting holds all waiting requests, running those that have a slot.
	waiting map[uint64]*request
	running map[uint64]*request
	// slotTime is the mean slot time of requests of each rank.
	slotTime [bundle.RankCount]time.Duration
	// credit is the slot time that a rank may claim ahead of higher ranks.
	credit [bundle.RankCount]time.Duration
	// usage measures the slot time that each rank uses.
	usage [bundle.RankCount]meter
}

// New returns an empty queue.
func New(c Config) *Queue {
	q := &Queue{c: c, waiting: map[uint64]*request{}, running: map[uint64]*request{}}
	for i := range q.ranks {
		q.ranks[i] = newRankQueue(c.ArrivalOrder)
		q.slotTime[i] = initialSlotTime
	}
	return q
}

// Depth returns the number of waiting requests of rank r, without those of open
// transactions.
func (q *Queue) Depth(r bundle.Rank) int { return q.ranks[r].len() }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// Handle takes in an event and returns what is to be done, in order.
func (q *Queue) Handle(e Event, now time.Time) []Action {
	var o []Action
	switch x := e.(type) {
	case Arrived:
		o = q.arrive(x, now)
	case Finished:
		q.finish(x, now)
	case Withdrawn:
		q.withdraw(x.ID)
	case Configured:
		q.c = x.Config
	case Ticked:
	}
	o = append(o, q.expire(now)...)
	return append(o, q.fillSlots(now)...)
}

func (q *Queue) arrive(x Arrived, now time.Time) []Action {
	r := &request{Arrived: x, arrived: now}
	if x.Held {
		q.waiting[x.ID] = r
		q.inTransaction[x.Rank] = append(q.inTransaction[x.Rank], r)
		return nil
	}
	w := q.Wait(x.Rank, x.Caller, now)
	if !now.Before(x.Deadline) || w > 0 && now.Add(w+q.expectedSlotTime(r, now)).After(x.Deadline) {
		return []Action{q.newRefusal(r, w, now, Overloaded)}
	}
	l := q.ranks[x.Rank]
	var o []Action
	if l.len() >= q.maxWaiting() {
		v := l.victim(x.Caller)
		if v == nil {
			return []Action{q.newRefusal(r, w, now, Overloaded)}
		}
		q.remove(v)
		o = append(o, q.newRefusal(v, q.Wait(v.Rank, v.Caller, now), now, Overloaded))
	}
	q.waiting[x.ID] = r
	l.push(r)
	return o
}

func (q *Queue) maxWaiting() int {
	if q.c.MaxWaiting > 0 {
		return q.c.MaxWaiting
	}
	return DefaultMaxWaiting
}

// expectedSlotTime returns the slot time to reckon with for a request.
func (q *Queue) expectedSlotTime(r *request, now time.Time) time.Duration {
	return min(q.slotTime[r.Rank], max(r.Deadline.Sub(now), r.Deadline.Sub(r.arrived))/deadlineDivisor)
}

// Wait predicts how long a new request of a caller waits for a slot. Requests
// of callers that have had more slot time don't count, since the new one goes
// before them.
func (q *Queue) Wait(r bundle.Rank, caller string, now time.Time) time.Duration {
	if q.c.Slots <= 0 {
		return maxRetryAfter
	}
	if len(q.running) < q.slotLimit(r) && q.workAhead(r) == 0 {
		return 0
	}
	own := time.Duration(q.ranks[r].countAhead(caller)+1) * q.slotTime[r]
	above := q.workAhead(r)
	rate := q.expectedSlots(r, now)
	return min(time.Duration(float64(own+above)/rate), maxRetryAfter)
}

// slotLimit returns the number of slots that rank r may take without its share.
func (q *Queue) slotLimit(r bundle.Rank) int {
	if r == bundle.Background {
		return q.c.Slots - q.c.Reserve
	}
	return q.c.Slots
}

// workAhead returns the slot time of waiting requests that go before rank r.
func (q *Queue) workAhead(r bundle.Rank) time.Duration {
	var w time.Duration
	for i := range q.inTransaction {
		w += time.Duration(len(q.inTransaction[i])) * q.slotTime[i]
	}
	for i := bundle.Urgent; i < r; i++ {
		w += time.Duration(q.ranks[i].len()) * q.slotTime[i]
	}
	return w
}

// minExpectedSlots bounds the slots that a prediction reckons with from below.
const minExpectedSlots = 0.01

// average returns how many slots rank r can count on: those that higher ranks
// leave over, less what is due to lower ranks that wait, but no fewer than its
// share.
func (q *Queue) expectedSlots(r bundle.Rank, now time.Time) float64 {
	n := float64(q.slotLimit(r))
	for i := range q.usage {
		switch k := bundle.Rank(i); {
		case k < r:
			n -= q.usage[i].average(now)
		case k > r && q.ranks[i].len() > 0:
			n -= q.c.Shares[i] * float64(q.c.Slots)
		}
	}
	return max(n, q.c.Shares[r]*float64(q.c.Slots), minExpectedSlots)
}

// newRefusal builds a refusal; the come-back time is when the predicted wait will
// have fallen to half of what the request could have waited.
func (q *Queue) newRefusal(r *request, wait time.Duration, now time.Time, why Reason) Refuse {
	d := max(wait-max(r.Deadline.Sub(now), 0)/2, wait/4, minRetryAfter)
	d += time.Duration(r.Jitter * float64(d))
	return Refuse{ID: r.ID, RetryAfter: min(d, maxRetryAfter), Reason: why}
}

func (q *Queue) withdraw(id uint64) {
	if r := q.waiting[id]; r != nil {
		q.remove(r)
	}
}

// remove takes a waiting request out.
func (q *Queue) remove(r *request) {
	delete(q.waiting, r.ID)
	if !r.Held {
		q.ranks[r.Rank].remove(r)
		return
	}
	l := q.inTransaction[r.Rank]
	for i := range l {
		if l[i] == r {
			q.inTransaction[r.Rank] = append(l[:i:i], l[i+1:]...)
			return
		}
	}
}

// expire refuses waiting requests that can't meet their deadline any more.
func (q *Queue) expire(now time.Time) []Action {
	var o []Action
	for _, l := range q.ranks {
		for {
			r := l.earliest()
			if r == nil || now.Add(q.expectedSlotTime(r, now)).Before(r.Deadline) {
				break
			}
			q.remove(r)
			o = append(o, q.newRefusal(r, q.Wait(r.Rank, r.Caller, now), now, Expired))
		}
	}
	return o
}
