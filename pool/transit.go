package pool

import (
	"math"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/admission"
	"github.com/dragonflypick/dragonflypick/gate"
	"github.com/dragonflypick/dragonflypick/query"
)

const (
	// transitWeight is the weight of the newest sample in the means of a transit.
	transitWeight = 0.05
	// minServiceTime bounds the mean service time from below.
	minServiceTime = time.Millisecond
	// spareConnections are left to transactions by statements in transit.
	spareConnections = 4
)

// transit measures for how much of the time in which a request holds a slot the member
// doesn't work on it: while messages are under way, and while the session is set up. The
// load that it answers is a member in another region, whose slots would stand idle for
// a round trip after each statement.
type transit struct {
	// roundTrip is that of a step which needs no slot, idle the mean time in which a
	// request holds a slot without being served, and service the mean time in which it
	// is served.
	roundTrip, idle, service time.Duration
}

// observe records a request that held a slot for held, and whose statement took took.
// roundTrip is the time of a step that needed no slot of the member, zero if unknown; a
// single slow one says little.
func (t *transit) observe(held, took, roundTrip time.Duration) {
	switch {
	case roundTrip == 0:
	case t.roundTrip == 0 || roundTrip < t.roundTrip:
		t.roundTrip = roundTrip
	default:
		t.roundTrip += time.Duration(transitWeight * float64(roundTrip-t.roundTrip))
	}
	s := max(took-t.roundTrip, minServiceTime)
	if t.service == 0 {
		t.service, t.idle = s, max(held-s, 0)
	}
	t.service += time.Duration(transitWeight * float64(s-t.service))
	t.idle += time.Duration(transitWeight * float64(max(held-s, 0)-t.idle))
}

// queued returns how many statements are sent in addition to slots, so that none of
// these stands idle.
func (t *transit) queued(slots int) int {
	if t.service == 0 {
		return queuedStatements
	}
	return queuedStatements + int(math.Round(float64(slots)*float64(t.idle)/float64(t.service)))
}

// slotLimit bounds the statements that are sent to the member at a time: the limit of the
// member's pace, or all its slots, and those in transit.
type slotLimit struct {
	gate *gate.Gate
	// slots are the member's, and most is the largest number of statements.
	slots, most int

	mu      sync.Mutex
	config  admission.Config
	paced   int
	transit transit
}

func newSlotLimit(slots, connections int, c admission.Config) *slotLimit {
	c.Slots = slots + queuedStatements
	return &slotLimit{gate: gate.New(c), slots: slots, most: max(connections-spareConnections, c.Slots), config: c, paced: slots}
}

// setPaced sets the limit of the member's pace.
func (l *slotLimit) setPaced(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paced = n
	l.configure()
}

// observe records a request; see transit.observe.
func (l *slotLimit) observe(held, took, roundTrip time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transit.observe(held, took, roundTrip)
	l.configure()
}

// configure gives the gate the limit in force; l.mu is held.
func (l *slotLimit) configure() {
	n := l.paced
	if n >= l.slots {
		n = min(l.slots+l.transit.queued(l.slots), l.most)
	}
	if n != l.config.Slots {
		l.config.Slots = n
		l.gate.Configure(l.config)
	}
}

// needsNoSlot reports whether a member runs a step without a slot.
func needsNoSlot(s query.Step) bool {
	switch s := s.(type) {
	case query.BeginTransaction, query.ResetSession:
		return true
	case query.EndTransaction:
		return !s.Commit
	default:
		return false
	}
}
