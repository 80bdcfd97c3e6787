package owner

import (
	"errors"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/peer"
)

// reasonLeaves is the reason of a verdict that sends a request to the next
// owner.
const reasonLeaves = "owner-leaves"

// HandOver hands the owned servers over: waiting requests are sent to the next
// owner, and so are new ones. What runs goes on, and so do open transactions.
// The next owner must be known to the entries already.
func (o *Owner) HandOver() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
	for _, s := range o.servers {
		s.handOver()
	}
}

func (o *Owner) isLeaving() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaving
}

// ReleaseUnowned gives back the connections of servers that this daemon doesn't own
// any more and that nothing uses.
func (o *Owner) ReleaseUnowned(owned func(m *bundle.Member) bool) {
	b := o.c.Bundle()
	o.mu.Lock()
	defer o.mu.Unlock()
	for n, s := range o.servers {
		if _, m, ok := b.Member(n); ok && !owned(m) && s.idle() {
			s.pool.Close()
			delete(o.servers, n)
		}
	}
}

// handOver sends waiting requests elsewhere, and closes connections as they come
// free.
func (s *server) handOver() {
	s.leave(Error.Wrap(&MovedError{}))
	s.pool.Close()
}

// idle reports whether nothing arrives, waits, runs, or holds a connection.
func (s *server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.holds) == 0 && s.slots.Idle() && s.pool.Used() == 0
}

// MovedError reports a request that was not run because its server has gone to
// another owner.
type MovedError struct{}

func (e *MovedError) Error() string { return "not run: the backend server has another owner now" }

// verdict tells the entry that a request was not run.
func (t *task) verdict(err error) peer.Verdict {
	var m *MovedError
	if errors.As(err, &m) {
		return t.moved()
	}
	if isReplaced(err) {
		return t.replaced()
	}
	return notRun(err)
}

func (t *task) moved() peer.Verdict {
	v := peer.Verdict{Outcome: peer.Moved, Reason: reasonLeaves}
	if t.o.isLeaving() {
		v.Left = t.o.c.Host
	}
	return v
}
