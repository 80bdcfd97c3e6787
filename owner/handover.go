package owner

import (
	"errors"

	"github.com/dragonflypick/dragonflypick/bundle"
	"github.com/dragonflypick/dragonflypick/peer"
)

// reasonOwnerDraining is the reason of a verdict that redirects a request to the
// next owner.
const reasonOwnerDraining = "owner-leaves"

// HandOver hands the owned servers over to their next owners: waiting and new
// requests are redirected, while running statements and open transactions
// continue here. The entries must already have been notified of the next owners.
func (o *Owner) HandOver() {
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

// ReleaseUnowned closes the connections of servers that this daemon no longer
// owns and that nothing uses.
func (o *Owner) ReleaseUnowned(owned func(m *bundle.Member) bool) {
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

// handOver redirects waiting requests, and closes connections as they become
// idle.
func (s *server) handOver() {
	s.endOwnership(Error.Wrap(&MovedError{}))
	s.pool.Close()
}

// isIdle reports whether no request is arriving, waiting or running, no connection is
// in use and no session is to be ended.
func (s *server) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.primaryWork) == 0 && s.slots.Idle() && s.pool.InUse() == 0 && !s.pool.HasAbandoned()
}

// MovedError reports a request that was not run because its backend server has
// another owner.
type MovedError struct{}

func (e *MovedError) Error() string { return "not run: the backend server has another owner now" }

// refusalVerdict returns the verdict on a request that was not run because of err.
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

// movedVerdict returns the verdict that redirects a request to the next owner.
func (t *task) movedVerdict() peer.Verdict {
	v := peer.Verdict{Outcome: peer.Redirected, Reason: reasonOwnerDraining}
	if t.owner.isHandingOver() {
		v.DrainingHost = t.owner.config.Host
	}
	return v
}
