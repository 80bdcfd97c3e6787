package owner

import (
	"context"
	"errors"

	"github.com/dragonflypick/dragonflypick/peer"
)

// trackPrimaryWork lets work on a server that serves as primary end when the primary is
// replaced. The returned function must be called when the work has ended.
func (s *server) trackPrimaryWork(x context.Context) (context.Context, func()) {
	x, stop := context.WithCancelCause(x)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextWorkID++
	n := s.nextWorkID
	s.primaryWork[n] = stop
	return x, func() {
		s.mu.Lock()
		delete(s.primaryWork, n)
		s.mu.Unlock()
		stop(nil)
	}
}

// cancelPrimaryWork ends the work that needs the server to be primary: what waits is sent
// on, and what runs is cut.
func (s *server) cancelPrimaryWork() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stop := range s.primaryWork {
		stop(Error.Wrap(&ReplacedError{}))
	}
}

// Replaced tells that a group has a primary of a higher term. Work on the
// group's other owned members that needs the primary ends at once, so that
// nothing waits out its deadline on a primary that is frozen or cut off.
func (o *Owner) Replaced(group, primary string) {
	b := o.config.Bundle()
	if b == nil {
		return
	}
	g, ok := b.Group(group)
	if !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range g.Members {
		if s := o.servers[g.Members[i].Name]; s != nil && s.name != primary {
			s.cancelPrimaryWork()
		}
	}
}

// ReplacedError reports a request that was not run because its server is no
// longer the primary.
type ReplacedError struct{}

func (e *ReplacedError) Error() string { return "not run: the backend server is no longer the primary" }

func isReplaced(err error) bool {
	var r *ReplacedError
	return errors.As(err, &r)
}

// replacedVerdict tells the entry that a request was not run, and where the primary is.
func (t *task) replacedVerdict() peer.Verdict {
	v := t.monitor.View()
	return peer.Verdict{Outcome: peer.Moved, Reason: "not-primary", View: &v}
}
