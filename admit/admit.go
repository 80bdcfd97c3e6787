// Package admit decides which waiting request a backend server runs next, and
// which requests are refused on arrival. It does no I/O and reads no clock.
package admit

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Timing of refusals.
const (
	// minRetryAfter and maxRetryAfter bound the come-back time.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// initialCost is the slot time assumed before the first request has ended.
	initialCost = 5 * time.Millisecond
	// costWeight is the weight of the newest sample in the mean slot time.
	costWeight = 0.1
	// creditCap bounds the slot time that a rank can save up.
	creditCap = 250 * time.Millisecond
)

// Config holds the limits of one backend server's queue.
type Config struct {
	// Slots is the number of requests that run at a time.
	Slots int
	// Shares holds the least share of slot time for each rank, by rank.
	Shares [bundle.RankCount]float64
	// Reserve is the number of slots that background work leaves free.
	Reserve int
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
	// Held marks a request of an open transaction: it goes first and is never
	// refused for load, since it already holds a connection.
	Held bool
	// Jitter is a random number from 0 to 1.
	Jitter float64
}

// Finished tells that a started request has freed its slot.
type Finished struct{ ID uint64 }

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
	// Expired means that the deadline passed while the request waited.
	Expired Reason = "expired"
)

func (Start) action()  {}
func (Refuse) action() {}

// request is a waiting or running request.
type request struct {
	Arrived
	started time.Time
}

// Queue is the queue of one backend server. It is not safe for concurrent use.
type Queue struct {
	c Config
	// waiting holds the waiting requests of each rank, in order of arrival.
	waiting [bundle.RankCount][]*request
	// held are waiting requests of open transactions.
	held    []*request
	running map[uint64]*request
	// cost is the mean slot time of requests of each rank.
	cost [bundle.RankCount]time.Duration
	// credit is the slot time that a rank may claim ahead of higher ranks.
	credit [bundle.RankCount]time.Duration
	// served is each caller's slot time within a rank, for fairness; entries
	// exist only while the caller waits or runs.
	served [bundle.RankCount]map[string]time.Duration
}

// New returns an empty queue.
func New(c Config) *Queue {
	q := &Queue{c: c, running: map[uint64]*request{}}
	for i := range q.served {
		q.served[i] = map[string]time.Duration{}
		q.cost[i] = initialCost
	}
	return q
}

// Depth returns the number of waiting requests of rank r.
func (q *Queue) Depth(r bundle.Rank) int { return len(q.waiting[r]) }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// Handle takes in an event and returns what is to be done, in order.
func (q *Queue) Handle(e Event, now time.Time) []Action {
	var o []Action
	switch x := e.(type) {
	case Arrived:
		if a := q.arrive(x, now); a != nil {
			o = append(o, a)
		}
	case Finished:
		q.finish(x.ID, now)
	case Withdrawn:
		q.withdraw(x.ID)
	case Configured:
		q.c = x.Config
	case Ticked:
	}
	o = append(o, q.expire(now)...)
	return append(o, q.fill(now)...)
}

func (q *Queue) arrive(x Arrived, now time.Time) Action {
	r := &request{Arrived: x}
	if x.Held {
		q.held = append(q.held, r)
		return nil
	}
	if w := q.Wait(x.Rank); now.Add(w + q.cost[x.Rank]).After(x.Deadline) {
		return q.refuse(r, now, Overloaded)
	}
	q.waiting[x.Rank] = append(q.waiting[x.Rank], r)
	q.join(r)
	return nil
}

// join puts the caller level with the least served caller of its rank, so that
// idle time earns no claim.
func (q *Queue) join(r *request) {
	s := q.served[r.Rank]
	if _, ok := s[r.Caller]; ok {
		return
	}
	first := true
	var least time.Duration
	for _, d := range s {
		if first || d < least {
			least, first = d, false
		}
	}
	s[r.Caller] = least
}

// Wait predicts how long a new request of rank r waits for a slot.
func (q *Queue) Wait(r bundle.Rank) time.Duration {
	if q.c.Slots <= 0 {
		return maxRetryAfter
	}
	var w time.Duration
	for _, x := range q.held {
		w += q.cost[x.Rank]
	}
	for i := bundle.Urgent; i <= r; i++ {
		w += time.Duration(len(q.waiting[i])) * q.cost[i]
	}
	for i := r + 1; i < bundle.RankCount; i++ {
		b := time.Duration(len(q.waiting[i])) * q.cost[i]
		w += min(b, time.Duration(q.c.Shares[i]*float64(w)))
	}
	return w / time.Duration(q.c.Slots)
}

func (q *Queue) refuse(r *request, now time.Time, why Reason) Refuse {
	b := q.Wait(r.Rank)
	d := max(b-max(r.Deadline.Sub(now), 0)/2, b/4, minRetryAfter)
	d += time.Duration(r.Jitter * float64(d))
	return Refuse{ID: r.ID, RetryAfter: min(d, maxRetryAfter), Reason: why}
}

func (q *Queue) finish(id uint64, now time.Time) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	d := now.Sub(r.started)
	q.cost[r.Rank] += time.Duration(costWeight * float64(d-q.cost[r.Rank]))
	q.charge(r, d)
}

// charge accounts for slot time: every waiting lower rank gains its share.
func (q *Queue) charge(r *request, d time.Duration) {
	if _, ok := q.served[r.Rank][r.Caller]; ok {
		q.served[r.Rank][r.Caller] += d
	}
	for i := range q.credit {
		if len(q.waiting[i]) > 0 && q.c.Shares[i] > 0 {
			q.credit[i] = min(q.credit[i]+time.Duration(q.c.Shares[i]*float64(d)), creditCap)
		}
	}
	q.credit[r.Rank] = max(q.credit[r.Rank]-d, -creditCap)
	q.forget(r)
}

// forget drops the account of a caller that has nothing waiting or running.
func (q *Queue) forget(r *request) {
	for _, x := range q.waiting[r.Rank] {
		if x.Caller == r.Caller {
			return
		}
	}
	for _, x := range q.running {
		if x.Caller == r.Caller && x.Rank == r.Rank {
			return
		}
	}
	delete(q.served[r.Rank], r.Caller)
}

func (q *Queue) withdraw(id uint64) {
	for i := range q.waiting {
		for n, r := range q.waiting[i] {
			if r.ID == id {
				q.waiting[i] = append(q.waiting[i][:n:n], q.waiting[i][n+1:]...)
				q.forget(r)
				return
			}
		}
	}
	for n, r := range q.held {
		if r.ID == id {
			q.held = append(q.held[:n:n], q.held[n+1:]...)
			return
		}
	}
}

// expire refuses waiting requests that can't meet their deadline any more.
func (q *Queue) expire(now time.Time) []Action {
	var o []Action
	for i := range q.waiting {
		var keep []*request
		var gone []*request
		for _, r := range q.waiting[i] {
			if now.After(r.Deadline) {
				gone = append(gone, r)
			} else {
				keep = append(keep, r)
			}
		}
		if len(gone) == 0 {
			continue
		}
		q.waiting[i] = keep
		for _, r := range gone {
			o = append(o, q.refuse(r, now, Expired))
			q.forget(r)
		}
	}
	return o
}

// fill starts requests while slots are free.
func (q *Queue) fill(now time.Time) []Action {
	var o []Action
	for len(q.running) < q.c.Slots {
		r := q.next()
		if r == nil {
			break
		}
		r.started = now
		q.running[r.ID] = r
		o = append(o, Start{ID: r.ID})
	}
	return o
}

// next takes the request that is to run next out of the queue, or nil.
func (q *Queue) next() *request {
	if len(q.held) > 0 {
		r := q.held[0]
		q.held = q.held[1:]
		return r
	}
	for i := bundle.RankCount - 1; i > 0; i-- {
		if q.credit[i] > 0 && q.c.Shares[i] > 0 && len(q.waiting[i]) > 0 {
			return q.take(bundle.Rank(i))
		}
	}
	for i := range q.waiting {
		if len(q.waiting[i]) == 0 {
			continue
		}
		if bundle.Rank(i) == bundle.Background && !q.room() {
			continue
		}
		return q.take(bundle.Rank(i))
	}
	return nil
}

// room reports whether background work may take a free slot without its
// share.
func (q *Queue) room() bool { return len(q.running) < q.c.Slots-q.c.Reserve }

// take removes the request of rank r whose caller has had the least slot time,
// and of this caller's the one with the earliest deadline.
func (q *Queue) take(r bundle.Rank) *request {
	w := q.waiting[r]
	b := 0
	for i := range w {
		if q.before(w[i], w[b]) {
			b = i
		}
	}
	x := w[b]
	q.waiting[r] = append(w[:b:b], w[b+1:]...)
	return x
}

func (q *Queue) before(a, b *request) bool {
	s := q.served[a.Rank]
	if a.Caller != b.Caller && s[a.Caller] != s[b.Caller] {
		return s[a.Caller] < s[b.Caller]
	}
	return a.Deadline.Before(b.Deadline)
}
