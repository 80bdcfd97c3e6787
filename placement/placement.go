// Package placement chooses the member of a database group that will answer a read
// soonest. It does no I/O and reads no clock.
//
// Load: most reads follow a write of their own session, while replicas apply
// commits hundreds of milliseconds late; members differ in speed, demand moves
// between failure domains within seconds, and members fail a part of their
// requests. A replica that lacks the session's write for another 40 ms is better
// than a primary whose queue is longer than that, and worse than an idle one.
package placement

import (
	"math"
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Limits of the use of reports.
const (
	// waitMaxAge is how long a reported queue wait counts; its weight falls to zero
	// over that time.
	waitMaxAge = 800 * time.Millisecond
	// reportMaxAge is how long the other fields of a report count.
	reportMaxAge = 5 * time.Second
	// defaultSlotTime and defaultLag are assumed of a member without a report.
	defaultSlotTime = 25 * time.Millisecond
	defaultLag      = 250 * time.Millisecond
	// hopelessWaitAge and hopelessLagAge are how old a report may be by which a read
	// is refused. After that one is sent, whose answer tells more.
	hopelessWaitAge = 250 * time.Millisecond
	hopelessLagAge  = time.Second
	// failureCost is the time that a read loses at a member that fails it.
	failureCost = 400 * time.Millisecond
	// maxJitter is added to costs at random. It is less than the difference between a
	// member in the same failure domain and one in another: bytes between them cost.
	maxJitter = 2 * time.Millisecond
	// minPatience is the least time for which a read waits for a replica's log, so
	// that a small error of the prediction doesn't cost a second round trip.
	minPatience = 25 * time.Millisecond
)

// Report is what the owner of a member tells about it. The zero value is no report.
type Report struct {
	// Position is the end of the member's log.
	Position logpos.Position
	// Lag is the estimated time from a commit until the member has applied it.
	Lag time.Duration
	// Wait is the predicted wait for a slot, SlotTime the mean time that a
	// statement occupies one.
	Wait     time.Duration
	SlotTime time.Duration
	// Busy is the mean share of the member's slots that is in use.
	Busy float64
	// Failures is the share of recent statements that failed or weren't answered.
	Failures float64
	// At is when the report was made.
	At time.Time
}

// Candidate is a member that may serve a read.
type Candidate struct {
	Member string
	// Primary is set if the member's log is always complete.
	Primary bool
	Slots   int
	// RTT is the round trip to the member's owner.
	RTT time.Duration
	// InFlight counts the unanswered reads that this daemon has sent to the member.
	InFlight int
	// Share is the part of its usual reads that the member is to get, from 0 to 1.
	Share  float64
	Report Report
}

// Read is what matters of a read for its placement.
type Read struct {
	// Floor is the position of the session's own writes, which this daemon has
	// known for FloorAge.
	Floor    logpos.Position
	FloorAge time.Duration
	// MaxAge is the accepted age of the data.
	MaxAge time.Duration
	// Left is the time until the deadline.
	Left time.Duration
}

// Reason is why a member was chosen.
type Reason string

// Possible values of Reason.
const (
	// Soonest means that the member has the data and answers soonest.
	Soonest Reason = "soonest"
	// CatchUp means that the member will have the data soon enough.
	CatchUp Reason = "catch-up"
	// LagAvoided means that the primary was chosen since the replicas lag.
	LagAvoided Reason = "lag-avoided"
	// LastResort means that no member is expected to answer in time.
	LastResort Reason = "last-resort"
)

// Choice is the chosen member.
type Choice struct {
	// Index is the candidate's index.
	Index int
	// Cost is the predicted time until the answer. CatchUp is the part of it in
	// which the member doesn't have the data yet.
	Cost    time.Duration
	CatchUp time.Duration
	// Patience is how long the read may wait for the member's log before another
	// member would have answered sooner.
	Patience time.Duration
	Reason   Reason
	// Hopeless is set if recent reports show that no candidate answers in time.
	Hopeless bool
}

// CatchUp predicts how long it takes until the candidate has the data for a read.
func (c Candidate) CatchUp(r Read, now time.Time) time.Duration {
	if c.Primary {
		return 0
	}
	lag := defaultLag
	if now.Sub(c.Report.At) < reportMaxAge {
		lag = c.Report.Lag
	}
	d := max(lag-r.MaxAge, 0)
	if !r.Floor.IsZero() && c.Report.Position.Less(r.Floor) {
		d = max(d, lag-r.FloorAge)
	}
	return d
}

// Cost predicts the time until the candidate has answered a read for which its log
// is complete after catchUp.
func (c Candidate) Cost(catchUp time.Duration, now time.Time) time.Duration {
	age := now.Sub(c.Report.At)
	slot, failures, wait := defaultSlotTime, 0.0, time.Duration(0)
	if age < reportMaxAge {
		slot = c.Report.SlotTime
		failures = c.Report.Failures * float64(reportMaxAge-age) / float64(reportMaxAge)
	}
	if age < waitMaxAge {
		wait = time.Duration(float64(c.Report.Wait) * float64(waitMaxAge-age) / float64(waitMaxAge))
	}
	if age < reportMaxAge {
		wait = max(wait, usualWait(c.Report.Busy, c.Slots, slot))
	}
	wait += time.Duration(c.InFlight) * slot / time.Duration(max(c.Slots, 1))
	return c.RTT + max(catchUp, wait) + slot + time.Duration(failures*float64(failureCost))
}

// maxBusy bounds the share of slots in use for which a wait is computed.
const maxBusy = 0.98

// usualWait returns the mean wait of a queue with the given share of its slots in use
// (Sakasegawa's approximation for Poisson arrivals). A member thereby costs more
// before its queue grows: daemons that all saw the same empty queue would fill it
// together.
func usualWait(busy float64, slots int, slotTime time.Duration) time.Duration {
	b, n := min(busy, maxBusy), float64(max(slots, 1))
	return time.Duration(float64(slotTime) * math.Pow(b, math.Sqrt(2*(n+1))) / (n * (1 - b)))
}

// Choose returns the candidate that answers soonest. random returns a number from 0
// to 1; it keeps daemons with the same reports from all choosing the same member,
// and applies the shares. The result is false if there is no candidate.
func Choose(r Read, l []Candidate, now time.Time, random func() float64) (Choice, bool) {
	best, next := Choice{Index: -1}, time.Duration(-1)
	lagging := false
	for _, admitted := range []func(Candidate) bool{
		func(c Candidate) bool { return c.Share > 0 && random() < c.Share },
		func(c Candidate) bool { return c.Share > 0 },
		func(Candidate) bool { return true },
	} {
		for i, c := range l {
			if !admitted(c) {
				continue
			}
			k := c.CatchUp(r, now)
			cost := c.Cost(k, now) + time.Duration(random()*float64(maxJitter))
			lagging = lagging || k > 0
			switch {
			case best.Index < 0 || cost < best.Cost:
				if best.Index >= 0 {
					next = best.Cost
				}
				best = Choice{Index: i, Cost: cost, CatchUp: k}
			case next < 0 || cost < next:
				next = cost
			}
		}
		if best.Index >= 0 && best.Cost <= r.Left {
			break
		}
	}
	if best.Index < 0 {
		return best, false
	}
	c := l[best.Index]
	best.Patience = patience(r, c, best, next)
	best.Reason = reason(r, c, best, lagging)
	best.Hopeless = hopeless(r, l, now)
	return best, true
}

// hopeless reports whether recent reports show that no candidate answers in time, by
// its queue or by its lag; unanswered reads and long links don't show that.
func hopeless(r Read, l []Candidate, now time.Time) bool {
	for _, c := range l {
		age := now.Sub(c.Report.At)
		full := age < hopelessWaitAge && c.Report.Wait > r.Left
		late := age < hopelessLagAge && c.CatchUp(r, now) > r.Left
		if !full && !late {
			return false
		}
	}
	return len(l) > 0
}

// patience returns how long a read may wait for the log of the best candidate. next
// is the cost of the second best one, negative if there is none.
func patience(r Read, c Candidate, best Choice, next time.Duration) time.Duration {
	rest := r.Left - c.RTT - c.Report.SlotTime
	if next < 0 {
		return max(rest, 0)
	}
	// Going elsewhere takes another round trip.
	return max(min(next-best.Cost+best.CatchUp+c.RTT, rest), minPatience)
}

func reason(r Read, c Candidate, best Choice, lagging bool) Reason {
	switch {
	case best.Cost > r.Left:
		return LastResort
	case best.CatchUp > 0:
		return CatchUp
	case c.Primary && lagging:
		return LagAvoided
	default:
		return Soonest
	}
}

// WithDefaults returns the report with defaults for what its owner hasn't measured.
func (r Report) WithDefaults(lagKnown bool) Report {
	if !lagKnown {
		r.Lag = defaultLag
	}
	if r.SlotTime == 0 {
		r.SlotTime = defaultSlotTime
	}
	return r
}

// Answered returns the report after an answer of the member's owner. p is zero if the
// answer tells no position.
func (r Report) Answered(wait time.Duration, p logpos.Position, now time.Time) Report {
	r = r.WithDefaults(!r.At.IsZero())
	r.Wait, r.At = wait, now
	if !p.IsZero() {
		r.Position = p
	}
	return r
}
