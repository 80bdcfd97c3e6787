package fleet

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
	"github.com/dragonflypick/dragonflypick/placement"
)

// Timing of the load reports of members.
const (
	// loadMaxAge is how long a reported queue or lag is used.
	loadMaxAge = 300 * time.Millisecond
	// unreachablePenalty is added to a member's cost for this long after it could
	// not be reached.
	unreachablePenalty = 500 * time.Millisecond
	// assumedSlotTime is how long a request of this daemon is assumed to occupy a
	// slot.
	assumedSlotTime = 25 * time.Millisecond
)

// load is the load of one member as this daemon observes it.
type load struct {
	// inFlight counts the reads that this daemon has sent and that aren't
	// answered.
	inFlight int
	// queueWait is the predicted wait that the owner reported at queueWaitAt.
	queueWait   time.Duration
	queueWaitAt time.Time
	// lag is the estimated age of the member's data at lagAt.
	lag   time.Duration
	lagAt time.Time
	// unreachableAt is when the member last could not be reached.
	unreachableAt time.Time
	// position is the end of the member's log as last reported, at positionAt by
	// the boot-time clock. Only the member's owner records it.
	position   logpos.Position
	positionAt time.Time
	// service and delay measure the member at its owner: how it serves statements
	// and how late it applies commits.
	service placement.Service
	delay   placement.Lag
	// report is the last report of the member's owner, timed by the boot-time clock.
	report placement.Report
	// advanced is closed when position advances; nil if nobody waits for that.
	// probing is set while the member's position is being requested.
	advanced chan struct{}
	probing  bool
}

// positionMaxAge is how long a member's log is assumed not to have grown since
// the last report.
const positionMaxAge = 150 * time.Millisecond

// lacks reports whether a member is known not to hold a position, so that a
// read which requires it needn't wait in the member's queue. After
// positionMaxAge a read is sent again, whose reply reports the new position.
func (l *load) lacks(p logpos.Position, now time.Time) bool {
	return l.position.Less(p) && now.Sub(l.positionAt) < positionMaxAge
}

// loadTable holds the load of members, by ID. It is not safe for concurrent
// use.
type loadTable struct{ byMember map[string]*load }

func newLoadTable() *loadTable { return &loadTable{byMember: map[string]*load{}} }

// member returns the load of a member, which is empty at first.
func (t *loadTable) member(member string) *load {
	l := t.byMember[member]
	if l == nil {
		l = &load{}
		t.byMember[member] = l
	}
	return l
}

// forget deletes the load of a member that has left.
func (t *loadTable) forget(member string) { delete(t.byMember, member) }

// cost predicts how long a read waits at a member, without the round trip.
// maxAge is the accepted age of the data; it is negative for a primary, whose data
// are always current.
func (l *load) cost(slots int, maxAge time.Duration, now time.Time) time.Duration {
	c := time.Duration(l.inFlight) * assumedSlotTime / time.Duration(max(slots, 1))
	if d := now.Sub(l.queueWaitAt); d < loadMaxAge {
		c += l.queueWait * (loadMaxAge - d) / loadMaxAge
	}
	if maxAge >= 0 {
		c += l.lagWait(maxAge, now)
	}
	if now.Sub(l.unreachableAt) < unreachablePenalty {
		c += unreachablePenalty
	}
	return c
}

// lagWait predicts how long it takes until the member can serve a read that
// accepts data of the given age.
func (l *load) lagWait(maxAge time.Duration, now time.Time) time.Duration {
	if now.Sub(l.lagAt) >= loadMaxAge {
		return 0
	}
	return max(l.lag-maxAge, 0)
}
