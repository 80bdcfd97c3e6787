package owner

import (
	"context"
	"errors"

	"github.com/dragonflypick/dragonflypick/peer"
)

// trackPrimaryWork returns a context for the work of a stream that needs the server to
// be primary; it ends when the primary is replaced. The returned function must be
// called when the stream has been served.
func (s *server) trackPrimaryWork(x context.Context) (context.Context, func()) {
	x, stop := context.WithCancelCause(x)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWorkID++
	n := s.lastWorkID
	s.primaryWork[n] = stop
	return x, func() {
		s.mu.Lock()
		delete(s.primaryWork, n)
		s.mu.Unlock()
		stop(nil)
	}
}

// cancelPrimaryWork ends the work that needs the server to be primary: waiting
// requests are redirected, and the connections of running ones are aborted.
func (s *server) cancelPrimaryWork() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stop := range s.primaryWork {
		stop(Error.Wrap(&ReplacedError{}))
	}
}

// PrimaryReplaced notifies the owner that a group has a primary of a higher term.
// Work on the group's other owned members that needs the primary ends at once, so
// that no request waits until its deadline for a primary that hangs or is
// unreachable.
func (o *Owner) PrimaryReplaced(group, primary string) {
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

// ReplacedError reports a request that was not run because its backend server is
// no longer the primary.
type ReplacedError struct{}

func (e *ReplacedError) Error() string { return "not run: the backend server is no longer the primary" }

func isReplaced(err error) bool {
	var r *ReplacedError
	return errors.As(err, &r)
}

// replacedVerdict returns the verdict on a request that was not run because the
// primary was replaced, with a view that names the new primary.
func (t *task) replacedVerdict() peer.Verdict {
	v := t.monitor.View()
	return peer.Verdict{Outcome: peer.Redirected, Reason: "not-primary", View: &v}
}
