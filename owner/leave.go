package owner

import (
	"errors"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/peer"
)

// reasonOwnerLeaving is the reason of a verdict that sends a request to the next
// owner.
const reasonOwnerLeaving = "owner-leaves"

// Leave hands the owned servers over: waiting requests are sent to the next
// owner, and so are new ones. What runs goes on, and so do open transactions.
// The next owner must be known to the entries already.
func (o *Owner) Leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handingOver = true
	for _, s := range o.servers {
		s.handOver()
	}
}

func (o *Owner) isHandingOver() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.handingOver
}

// Release gives back the connections of servers that this daemon doesn't own
// any more and that nothing uses.
func (o *Owner) Release(owned func(m *bundle.Member) bool) {
	b := o.config.Bundle()
	o.mu.Lock()
	defer o.mu.Unlock()
	for n, s := range o.servers {
		if _, m, ok := b.Member(n); ok && !owned(m) && s.isIdle() {
			s.pool.Close()
			delete(o.servers, n)
		}
	}
}

// handOver sends waiting requests elsewhere, and closes connections as they come
// free.
func (s *server) handOver() {
	s.endOwnership(Error.Wrap(&MovedError{}))
	s.pool.Close()
}

// isIdle reports whether nothing arrives, waits, runs, or holds a connection.
func (s *server) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.primaryWork) == 0 && s.slots.Idle() && s.pool.Used() == 0
}

// MovedError reports a request that was not run because its server has gone to
// another owner.
type MovedError struct{}

func (e *MovedError) Error() string { return "not run: the backend server has another owner now" }

// refusalVerdict tells the entry that a request was not run.
func (t *task) refusalVerdict(err error) peer.Verdict {
	var m *MovedError
	if errors.As(err, &m) {
		return t.movedVerdict()
	}
	if isReplaced(err) {
		return t.replacedVerdict()
	}
	return notRunVerdict(err)
}

func (t *task) movedVerdict() peer.Verdict {
	v := peer.Verdict{Outcome: peer.Moved, Reason: reasonOwnerLeaving}
	if t.owner.isHandingOver() {
		v.Left = t.owner.config.Host
	}
	return v
}
