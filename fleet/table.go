package fleet

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Timing of what is known of members' load.
const (
	// loadMaxAge is how long a reported queue or lag is used.
	loadMaxAge = 300 * time.Millisecond
	// unreachablePenalty is how long a member that could not be reached is passed
	// over.
	unreachablePenalty = 500 * time.Millisecond
	// assumedSlotTime is the assumed slot time of an own request under way.
	assumedSlotTime = 25 * time.Millisecond
)

// load is what a daemon knows of one member.
type load struct {
	// inFlight counts the own requests under way.
	inFlight int
	// queue is the predicted wait that the owner reported at the time told.
	queue   time.Duration
	queueAt time.Time
	// lag is how far the member's data were behind at the time lagged.
	lag   time.Duration
	lagAt time.Time
	// failedAt is when the member could not be reached.
	failedAt time.Time
	// position is how far the member's log reached when it was last reported at the time
	// heard, by the clock that goes on in a freeze; its owner notes them.
	position   logpos.Position
	positionAt time.Time
}

// positionMaxAge is how long a member is taken to be no further than it reported.
const positionMaxAge = 150 * time.Millisecond

// lacks reports whether a member is known not to hold a position, so that a read
// for it needn't wait in its queue. After a while one read is sent to find out.
func (l *load) lacks(p logpos.Position, now time.Time) bool {
	return l.position.Less(p) && now.Sub(l.positionAt) < positionMaxAge
}

// loadTable holds the load of members. It is not safe for concurrent use.
type loadTable struct{ byMember map[string]*load }

func newLoadTable() *loadTable { return &loadTable{byMember: map[string]*load{}} }

func (t *loadTable) member(member string) *load {
	l := t.byMember[member]
	if l == nil {
		l = &load{}
		t.byMember[member] = l
	}
	return l
}

// cost predicts how long a read waits at a member, besides the way there.
// maxAge is the accepted age of data, negative where lag doesn't matter.
func (l *load) cost(slots int, maxAge time.Duration, now time.Time) time.Duration {
	c := time.Duration(l.inFlight) * assumedSlotTime / time.Duration(max(slots, 1))
	if d := now.Sub(l.queueAt); d < loadMaxAge {
		c += l.queue * (loadMaxAge - d) / loadMaxAge
	}
	if maxAge >= 0 {
		c += l.lagWait(maxAge, now)
	}
	if now.Sub(l.failedAt) < unreachablePenalty {
		c += unreachablePenalty
	}
	return c
}

// lagWait predicts how long the member needs until a read of the given age can
// be served.
func (l *load) lagWait(maxAge time.Duration, now time.Time) time.Duration {
	if now.Sub(l.lagAt) >= loadMaxAge {
		return 0
	}
	return max(l.lag-maxAge, 0)
}
