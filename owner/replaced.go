package owner

import (
	"context"
	"errors"

	"github.com/dragonflypick/dragonflypick/peer"
)

// hold lets work on a server that serves as primary end when the primary is
// replaced. The returned function must be called when the work has ended.
func (s *server) hold(x context.Context) (context.Context, func()) {
	x, stop := context.WithCancelCause(x)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	n := s.next
	s.holds[n] = stop
	return x, func() {
		s.mu.Lock()
		delete(s.holds, n)
		s.mu.Unlock()
		stop(nil)
	}
}

// replace ends the work that needs the server to be primary: what waits is sent
// on, and what runs is cut.
func (s *server) replace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stop := range s.holds {
		stop(Error.Wrap(&ReplacedError{}))
	}
}

// PrimaryReplaced tells that a group has a primary of a higher term. Work on the
// group's other owned members that needs the primary ends at once, so that
// nothing waits out its deadline on a primary that is frozen or cut off.
func (o *Owner) PrimaryReplaced(group, primary string) {
	b := o.c.Bundle()
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
			s.replace()
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

// replaced tells the entry that a request was not run, and where the primary is.
func (t *task) replaced() peer.Verdict {
	v := t.m.View()
	return peer.Verdict{Outcome: peer.Moved, Reason: "not-primary", View: &v}
}
