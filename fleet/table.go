package fleet

import (
	"time"

	"github.com/dragonflypick/dragonflypick/logpos"
)

// Timing of what is known of members' load.
const (
	// loadMemory is how long a reported queue or lag is used.
	loadMemory = 300 * time.Millisecond
	// unreachableTime is how long a member that could not be reached is passed
	// over.
	unreachableTime = 500 * time.Millisecond
	// slotTime is the assumed slot time of an own request under way.
	slotTime = 25 * time.Millisecond
)

// load is what a daemon knows of one member.
type load struct {
	// under counts the own requests under way.
	under int
	// queue is the predicted wait that the owner reported at the time told.
	queue time.Duration
	told  time.Time
	// lag is how far the member's data were behind at the time lagged.
	lag    time.Duration
	lagged time.Time
	// failed is when the member could not be reached.
	failed time.Time
	// position is how far the member's log reached when it was last reported at the time
	// heard, by the clock that goes on in a freeze; its owner notes them.
	position logpos.Position
	heard    time.Time
}

// positionMemory is how long a member is taken to be no further than it reported.
const positionMemory = 150 * time.Millisecond

// lacks reports whether a member is known not to hold a position, so that a read
// for it needn't wait in its queue. After a while one read is sent to find out.
func (l *load) lacks(p logpos.Position, now time.Time) bool {
	return l.position.Less(p) && now.Sub(l.heard) < positionMemory
}

// table holds the load of members. It is not safe for concurrent use.
type table struct{ loads map[string]*load }

func newTable() *table { return &table{loads: map[string]*load{}} }

func (t *table) of(member string) *load {
	l := t.loads[member]
	if l == nil {
		l = &load{}
		t.loads[member] = l
	}
	return l
}

// cost predicts how long a read waits at a member, besides the way there.
// maxAge is the accepted age of data, negative where lag doesn't matter.
func (l *load) cost(slots int, maxAge time.Duration, now time.Time) time.Duration {
	c := time.Duration(l.under) * slotTime / time.Duration(max(slots, 1))
	if d := now.Sub(l.told); d < loadMemory {
		c += l.queue * (loadMemory - d) / loadMemory
	}
	if maxAge >= 0 {
		c += l.behind(maxAge, now)
	}
	if now.Sub(l.failed) < unreachableTime {
		c += unreachableTime
	}
	return c
}

// behind predicts how long the member needs until a read of the given age can
// be served.
func (l *load) behind(maxAge time.Duration, now time.Time) time.Duration {
	if now.Sub(l.lagged) >= loadMemory {
		return 0
	}
	return max(l.lag-maxAge, 0)
}
