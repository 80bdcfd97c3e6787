package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dragonflypick/dragonflypick/membership"
)

// Timing of the checks of links.
const (
	// checkInterval is how often the links are examined.
	checkInterval = 200 * time.Millisecond
	// silenceBeforeCheck is how long the other daemon may send nothing on a link
	// that is in use before the link is checked by a ping. It exceeds a round trip
	// to another region several times.
	silenceBeforeCheck = 300 * time.Millisecond
	// freshTime is how long a link is trusted after something was received on it.
	// Work that mustn't run twice is sent on a link that has been silent for longer
	// only after a ping.
	freshTime = 1500 * time.Millisecond
	// abandonTime is how long an unused link that the other daemon opened may be
	// silent before it is closed. The other daemon closes unused links after
	// idleTimeout, so that a longer silence means that it is gone.
	abandonTime = 3 * idleTimeout
)

// linkActivity is what the decision to check a link depends on. A link that
// nobody uses isn't checked, so that the cost of a fleet's links follows their use
// and not their number.
type linkActivity struct {
	// silence is the time since the other daemon last sent anything.
	silence time.Duration
	// waiting is set while a call or a statement stream on the link is open.
	waiting bool
	// unanswered is set if a call has ended without a reply and nothing was
	// received since.
	unanswered bool
}

// checkDue reports whether the link must be checked by a ping now.
func (a linkActivity) checkDue() bool {
	return (a.waiting || a.unanswered) && a.silence >= silenceBeforeCheck
}

// isFresh reports whether the link can be used for any work without a check.
func (a linkActivity) isFresh() bool { return a.silence < freshTime && !a.unanswered }

// isAbandoned reports whether the daemon that opened the link must be gone.
func (a linkActivity) isAbandoned() bool { return !a.waiting && a.silence >= abandonTime }

// linkUse counts the open calls of a link and records when something was last
// received. It is safe for concurrent use.
type linkUse struct {
	// received is when something was last received, since the start of clock.
	received   atomic.Int64
	calls      atomic.Int32
	unanswered atomic.Bool
}

// clockStart is the origin of the monotonic times of linkUse.
var clockStart = time.Now()

// markReceived records that something was received.
func (u *linkUse) markReceived() {
	u.received.Store(int64(time.Since(clockStart)))
	if u.unanswered.Load() {
		u.unanswered.Store(false)
	}
}

// activity returns the activity of a link with the given number of streams, one
// of which carries the control calls.
func (u *linkUse) activity(streams int) linkActivity {
	return linkActivity{
		silence: time.Since(clockStart) - time.Duration(u.received.Load()),
		waiting: u.calls.Load() > 0 || streams > 1, unanswered: u.unanswered.Load(),
	}
}

// linkCheck is a running check of a link.
type linkCheck struct {
	// done is closed when the check has ended and err is set.
	done chan struct{}
	err  error
}

// startCheck pings the other daemon, unless a ping is under way already. A link
// whose ping isn't answered within writeTimeout is closed.
func (n *Node) startCheck(s *session) *linkCheck {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.check != nil {
		return s.check
	}
	c := &linkCheck{done: make(chan struct{})}
	s.check = c
	n.tasks.Go(func() error {
		if _, err := s.Ping(); err != nil {
			c.err = Error.Wrap(err)
			_ = s.Close()
		}
		s.mu.Lock()
		s.check = nil
		s.mu.Unlock()
		close(c.done)
		return nil
	})
	return c
}

// checkLinks checks the links that are in use and silent, and closes unused ones,
// until the context ends.
func (n *Node) checkLinks(x context.Context) error {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-x.Done():
			return nil
		case <-t.C:
		}
		n.mu.Lock()
		var due []*session
		for id, l := range n.links {
			if l.session == nil {
				continue
			}
			a := l.session.activity()
			switch {
			case a.checkDue():
				due = append(due, l.session)
			case !a.waiting && time.Since(l.lastUsed) > idleTimeout:
				_ = l.session.Close()
				delete(n.links, id)
			}
		}
		for s := range n.accepted {
			switch a := s.activity(); {
			case a.checkDue():
				due = append(due, s)
			case a.isAbandoned():
				_ = s.Close()
			}
		}
		n.mu.Unlock()
		for _, s := range due {
			n.startCheck(s)
		}
	}
}

// verify returns once the link is known to carry an answer from the other daemon
// within freshTime.
func (n *Node) verify(x context.Context, l *link) error {
	if l.session.activity().isFresh() {
		return nil
	}
	c := n.startCheck(l.session)
	select {
	case <-c.done:
	case <-x.Done():
		return Error.Wrap(x.Err())
	}
	if c.err == nil {
		n.config.OnAnswer(l.id)
	}
	return c.err
}

// CallVerified makes a control call like Call. If the link has been silent, it is
// checked first, so that a call isn't lost on a link that has failed unnoticed;
// the error is an *UnsentError then.
func (n *Node) CallVerified(x context.Context, h membership.Host, method string, params, result any) error {
	l, err := n.linkTo(x, h)
	if err == nil {
		err = n.verify(x, l)
	}
	if err != nil {
		return Error.Wrap(&UnsentError{Err: err})
	}
	return n.callOn(x, l, method, params, result)
}
