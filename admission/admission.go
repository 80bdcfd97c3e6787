// Package admission implements admission control for a backend server: it decides
// which waiting request runs next, and which requests are refused on arrival or
// when they can no longer meet their deadline. It does no I/O and reads no clock.
// Package gate adds a clock, and blocks requests until they are decided on.
package admission

import (
	"time"

	"github.com/dragonflypick/dragonflypick/bundle"
)

// Timing and limits of the queue.
const (
	// minRetryAfter and maxRetryAfter bound the retry-after interval of refusals.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// initialSlotTime is the mean slot time assumed before the first request has
	// ended.
	initialSlotTime = 5 * time.Millisecond
	// slotTimeWeight is the weight of the newest sample in the mean slot time.
	slotTimeWeight = 0.1
	// maxSampleFactor caps a sample at this multiple of the mean, so that a few
	// requests that were running while a process or host was suspended don't cause
	// others to be refused.
	maxSampleFactor = 8
	// unansweredSampleFactor is maxSampleFactor for a request that ended at its deadline,
	// probably without an answer.
	unansweredSampleFactor = 2
	// deadlineDivisor caps the slot time expected for a request at this fraction
	// (1/deadlineDivisor) of its time to the deadline, so that after a few slow
	// statements a rank's requests aren't all refused.
	deadlineDivisor = 4
	// maxCredit bounds the unused slot time that a rank accumulates.
	maxCredit = 250 * time.Millisecond
	// DefaultMaxWaiting is the value of Config.MaxWaiting if that is zero.
	DefaultMaxWaiting = 4096
)

// Config holds the limits of one backend server's queue.
type Config struct {
	// Slots is the number of requests that run concurrently. Only requests of open
	// transactions may exceed it.
	Slots int
	// Shares is the minimum share of slot time of each rank.
	Shares [bundle.RankCount]float64
	// ReservedSlots is the number of slots that background requests may not use.
	ReservedSlots int
	// MaxWaiting is the maximum number of waiting requests of each rank; zero
	// means DefaultMaxWaiting.
	MaxWaiting int
	// ArrivalOrder runs a caller's requests in order of arrival instead of by
	// deadline.
	ArrivalOrder bool
	// LostAnswers lets a request whose answer may be lost take no slot; see Overdue. It is
	// for requests that take about as long as others, not for open transactions.
	LostAnswers bool
	// EarlyRefusal is fixed by New. It refuses a waiting request once it is predicted to miss its
	// deadline, not only at the deadline; see Queue.refuseHopeless.
	EarlyRefusal bool
}

// Event is an input of Queue.Handle.
type Event interface{ event() }

// Arrived reports a new request that needs a slot.
type Arrived struct {
	// ID is unique among the requests in the queue.
	ID     uint64
	Rank   bundle.Rank
	Caller string
	// Team is the caller's team, empty if it has none. Slot time is shared between
	// teams, and within a team its callers take turns.
	Team string
	// Weight is the team's share of slot time relative to that of other teams; zero
	// means 1.
	Weight float64
	// Deadline is the time by which the answer must have been sent.
	Deadline time.Time
	// InTransaction marks a request of an open transaction. It starts at once,
	// even while all slots are taken, because running requests may wait for
	// locks that its transaction holds. Limiting the open transactions also
	// limits the number of these requests.
	InTransaction bool
	// Elsewhere is set if another backend server may serve the request when this one
	// refuses it. Only such requests are refused early because slots are stalled: for
	// others it is best to wait for the end.
	Elsewhere bool
	// Jitter is a random number from 0 to 1 that varies the retry-after interval.
	Jitter float64
}

// Finished reports that a started request has released its slot.
type Finished struct {
	ID uint64
	// Declined is set if the backend server did no work for the request. The mean
	// slot time then ignores it.
	Declined bool
}

// Withdrawn reports that a waiting request was canceled.
type Withdrawn struct{ ID uint64 }

// Configured replaces the queue's configuration.
type Configured struct{ Config Config }

// RefusedElsewhere reports requests that were refused before they arrived. Their
// callers return like those that the queue refuses.
type RefusedElsewhere struct {
	Rank  bundle.Rank
	Count int
}

// Ticked reports the current time, so that expired requests are refused.
type Ticked struct{}

// account returns the name of the account that is charged for the request.
func (a Arrived) account() string {
	if a.Team != "" {
		return "team " + a.Team
	}
	return a.Caller
}

// minWeight is the lower bound of a weight, by which used slot time is divided.
const minWeight = 0.01

// weight returns the weight in use.
func (a Arrived) weight() float64 {
	if a.Weight <= 0 {
		return 1
	}
	return max(a.Weight, minWeight)
}

func (Arrived) event()          {}
func (Finished) event()         {}
func (Withdrawn) event()        {}
func (Configured) event()       {}
func (Ticked) event()           {}
func (RefusedElsewhere) event() {}

// Action is an output of Queue.Handle, to be carried out by the caller.
type Action interface{ action() }

// Start gives a slot to a waiting request.
type Start struct{ ID uint64 }

// Refuse rejects a request that has not been started.
type Refuse struct {
	ID uint64
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	Reason     Reason
}

// Reason is why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// Overloaded means that the request's predicted wait exceeded its deadline or
	// that the queue was full.
	Overloaded Reason = "overloaded"
	// Expired means that the request waited until it could no longer meet its
	// deadline.
	Expired Reason = "expired"
	// Hopeless means that the request was refused while it waited, because it would
	// have got a slot too late.
	Hopeless Reason = "hopeless"
)

func (Start) action()  {}
func (Refuse) action() {}

// Queue is the queue of one backend server. It is not safe for concurrent use.
type Queue struct {
	config Config
	// ranks holds the waiting requests outside of transactions.
	ranks [bundle.RankCount]*rankQueue
	// inTransaction holds the waiting requests of open transactions, in order of
	// arrival.
	inTransaction [bundle.RankCount][]*request
	// waiting and running hold all waiting and all started requests by ID.
	waiting map[uint64]*request
	running map[uint64]*request
	// started counts the requests that were started, and late those of running that are
	// late.
	started uint64
	late    int
	// slotTime is the moving average of the slot time of each rank's requests.
	slotTime [bundle.RankCount]time.Duration
	// credit is the slot time that each rank may use before higher ranks are
	// served. It accumulates by the rank's share while its requests wait.
	credit [bundle.RankCount]time.Duration
	// usage measures the mean number of slots that each rank has used recently.
	usage [bundle.RankCount]slotMeter
	// shares measures the teams' use of slots.
	shares teamShares
	// returns schedules when refused callers are to return.
	returns returnSchedule
	// hopelessAt is when the queue was last searched for requests to refuse early.
	hopelessAt time.Time
	// progressAt is when a request last ended in time, or started while none ran, and
	// answeredAt when one last ended in time.
	progressAt, answeredAt time.Time
}

// New returns an empty queue.
func New(c Config) *Queue {
	q := &Queue{config: c, waiting: map[uint64]*request{}, running: map[uint64]*request{}}
	for i := range q.ranks {
		q.ranks[i] = newRankQueue(c.ArrivalOrder)
		q.slotTime[i], q.usage[i].fast = initialSlotTime, c.EarlyRefusal
	}
	return q
}

// Depth returns the number of waiting requests of rank r, not counting those of
// open transactions.
func (q *Queue) Depth(r bundle.Rank) int { return q.ranks[r].len() }

// Running returns the number of started requests that haven't finished.
func (q *Queue) Running() int { return len(q.running) }

// Handle applies an event and returns the resulting actions, in order.
func (q *Queue) Handle(e Event, now time.Time) []Action {
	var o []Action
	q.shares.update(q.config.Slots, now)
	switch x := e.(type) {
	case Arrived:
		o = q.arrive(x, now)
	case Finished:
		o = q.finish(x, now)
	case Withdrawn:
		q.withdraw(x.ID)
	case Configured:
		x.Config.EarlyRefusal = q.config.EarlyRefusal
		q.config = x.Config
	case RefusedElsewhere:
		q.returns.extend(q, x, now)
	case Ticked:
	}
	o = append(o, q.expire(now)...)
	o = append(o, q.fillSlots(now)...)
	return append(o, q.refuseHopeless(now)...)
}

func (q *Queue) arrive(x Arrived, now time.Time) []Action {
	r := &request{Arrived: x, arrived: now}
	if x.InTransaction {
		q.waiting[x.ID] = r
		q.inTransaction[x.Rank] = append(q.inTransaction[x.Rank], r)
		return nil
	}
	w := q.predictWait(r, now)
	if !now.Before(x.Deadline) || w > 0 && now.Add(w+q.expectedSlotTime(r, now)).After(x.Deadline) {
		return []Action{q.newRefusal(r, w, now, Overloaded)}
	}
	l := q.ranks[x.Rank]
	var o []Action
	if l.len() >= q.maxWaiting() {
		v := l.evictionCandidate(r)
		if v == nil {
			return []Action{q.newRefusal(r, w, now, Overloaded)}
		}
		q.remove(v)
		o = append(o, q.newRefusal(v, q.predictWait(v, now), now, Overloaded))
	}
	q.waiting[x.ID] = r
	l.push(r)
	return o
}

func (q *Queue) maxWaiting() int {
	if q.config.MaxWaiting > 0 {
		return q.config.MaxWaiting
	}
	return DefaultMaxWaiting
}

// expectedSlotTime returns the slot time that is assumed for a request when its
// deadline is checked.
func (q *Queue) expectedSlotTime(r *request, now time.Time) time.Duration {
	return min(q.slotTime[r.Rank], max(r.Deadline.Sub(now), r.Deadline.Sub(r.arrived))/deadlineDivisor)
}

// EstimateWait predicts how long a new request of a caller would wait for a slot.
// Requests of callers that have used more slot time aren't counted, since the
// new request would run before them.
func (q *Queue) EstimateWait(r bundle.Rank, caller string, now time.Time) time.Duration {
	return q.predictWait(&request{Arrived: Arrived{Rank: r, Caller: caller}}, now)
}

// predictWait is EstimateWait for a request that isn't queued.
func (q *Queue) predictWait(x *request, now time.Time) time.Duration {
	r := x.Rank
	if q.config.Slots <= 0 {
		return maxRetryAfter
	}
	if q.occupied(now) < q.slotLimit(r) && q.workAhead(r) == 0 {
		return 0
	}
	own := time.Duration(q.ranks[r].countAhead(x)+1) * q.slotTime[r]
	return min(q.stall(x, now)+time.Duration(float64(own+q.workAheadOf(x))/q.expectedSlotsOf(x, now)), maxRetryAfter)
}

// slotLimit returns the number of slots that rank r may use beyond its share.
func (q *Queue) slotLimit(r bundle.Rank) int {
	if r == bundle.Background {
		return q.config.Slots - q.config.ReservedSlots
	}
	return q.config.Slots
}

// workAhead returns the total mean slot time of the waiting requests that run
// before those of rank r.
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

// minExpectedSlots is the lower bound of Queue.expectedSlots, which divides the
// queued work.
const minExpectedSlots = 0.01

// expectedSlots returns how many slots rank r can expect to get: those that
// higher ranks don't use, less the shares of waiting lower ranks, but at least
// its own share.
func (q *Queue) expectedSlots(r bundle.Rank, now time.Time) float64 {
	n := float64(q.slotLimit(r))
	for i := range q.usage {
		switch k := bundle.Rank(i); {
		case k < r:
			n -= q.usage[i].average(now)
		case k > r && q.ranks[i].len() > 0:
			n -= q.config.Shares[i] * float64(q.config.Slots)
		}
	}
	return max(n, q.config.Shares[r]*float64(q.config.Slots), minExpectedSlots)
}

// newRefusal returns a refusal of a request. RetryAfter is the time until the
// predicted wait will have fallen to half of what the request could have waited,
// but at least a quarter of the predicted wait, plus jitter.
func (q *Queue) newRefusal(r *request, wait time.Duration, now time.Time, why Reason) Refuse {
	d := max(wait-max(r.Deadline.Sub(now), 0)/2, wait/4, minRetryAfter)
	if q.config.EarlyRefusal {
		return Refuse{ID: r.ID, RetryAfter: q.returns.assign(q, r, d, now), Reason: why}
	}
	d += time.Duration(r.Jitter * float64(d))
	return Refuse{ID: r.ID, RetryAfter: min(d, maxRetryAfter), Reason: why}
}

func (q *Queue) withdraw(id uint64) {
	if r := q.waiting[id]; r != nil {
		q.remove(r)
	}
}

// remove removes a waiting request from the queue.
func (q *Queue) remove(r *request) {
	delete(q.waiting, r.ID)
	if !r.InTransaction {
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

// expire refuses waiting requests that can no longer meet their deadline.
func (q *Queue) expire(now time.Time) []Action {
	var o []Action
	for _, l := range q.ranks {
		for {
			r := l.earliestDeadline()
			if r == nil || now.Add(q.expectedSlotTime(r, now)).Before(r.Deadline) {
				break
			}
			q.remove(r)
			o = append(o, q.newRefusal(r, q.predictWait(r, now), now, Expired))
		}
	}
	return o
}
