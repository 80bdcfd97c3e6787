package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/budget"
	"github.com/dragonflypick/dragonflypick/peer"
)

// Limits of repeats.
const (
	// freeMoves is the number of times that a request is sent on to another
	// member without pause or charge.
	freeMoves = 3
	// budgetRetryAfter is the least come-back time once the budget of repeats
	// is used up.
	budgetRetryAfter = 500 * time.Millisecond
)

// Reasons of refusals for load.
const (
	reasonOverloaded = "overloaded"
	reasonExpired    = "expired"
	reasonLink       = "region-link"
	reasonFlight     = "in-flight"
	reasonBudget     = "retry-budget"
)

// attempts sends a request until it is answered, refused for good, or its
// deadline has passed.
func (n *client) attempts(x context.Context, w work, r Request, deadline time.Time) error {
	moves, repeats := 0, 0
	for {
		r.Header.Remaining = time.Until(deadline)
		o, v, err := n.attempt(x, w, r)
		switch {
		case err != nil || o == answered || o == settled:
			return err
		case x.Err() != nil && !w.doubtful:
			return n.end(w, canceled())
		case x.Err() != nil:
			return n.end(w, refusal(ownerLost))
		case o == lost && n.repeatsKeyed(w, r, deadline):
			w.doubtful = true
			pause(x, budget.Backoff(repeats, rand.Float64()))
			repeats++
			continue
		case o == lost && r.Header.Kind != peer.KindRead:
			return n.end(w, refusal(ownerLost))
		case spills(w, r, v):
			r.Spilled = true
			continue
		case !w.whole || !again(v) || time.Until(deadline) < retryPause:
			return n.end(w, w.refusal(v))
		}
		if moves++; v.Outcome == peer.Moved && moves <= freeMoves {
			continue
		}
		if !n.s.mayRepeat(r.Header) {
			return n.end(w, w.refusal(exhausted()))
		}
		if o == readOnly {
			r.asWrite()
		} else {
			r.Tried = map[string]bool{}
		}
		pause(x, budget.Backoff(repeats, rand.Float64()))
		repeats++
	}
}

// ownerLost is the verdict on a write that was sent to an owner which did not
// answer.
var ownerLost = peer.Verdict{Outcome: peer.InDoubt, Reason: "owner-lost"}

// refusal turns a verdict into the answer for the caller; while an earlier
// attempt may still run, none can be certain.
func (w work) refusal(v peer.Verdict) *RefusedError {
	if w.doubtful {
		v = ownerLost
	}
	return refusal(v)
}

// repeatsKeyed reports whether a write whose owner was lost may be sent again:
// its key makes sure that it runs once, and gives the outcome if it has run.
func (n *client) repeatsKeyed(w work, r Request, deadline time.Time) bool {
	return r.Header.Key != "" && r.Header.Kind == peer.KindWrite && w.whole &&
		time.Until(deadline) > retryPause && n.s.mayRepeat(r.Header)
}

// exhausted is the verdict once the budget of repeats is used up.
func exhausted() peer.Verdict {
	d := budgetRetryAfter + time.Duration(rand.Float64()*float64(budgetRetryAfter))
	return peer.Verdict{Outcome: peer.NotRun, Reason: reasonBudget, RetryAfter: d}
}

// spills reports whether a read that was refused for load goes to another
// member, once.
func spills(w work, r Request, v peer.Verdict) bool {
	return w.whole && v.Outcome == peer.NotRun && v.Reason == reasonOverloaded && r.Header.Kind == peer.KindRead && !r.Primary && !r.Spilled
}

// again reports whether a request that was not run should be sent again.
func again(v peer.Verdict) bool {
	switch v.Reason {
	case reasonOverloaded, reasonExpired, reasonLink, reasonFlight, "withdrawn", reasonCut:
		return false
	default:
		return v.Outcome != peer.InDoubt
	}
}

// mayRepeat takes a repeat from the budgets of the group and the caller.
func (s *Server) mayRepeat(h peer.Header) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retry.Take(time.Now(), retryKeys(h)...)
}

// succeeded adds to the budgets of repeats.
func (s *Server) succeeded(h peer.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range retryKeys(h) {
		s.retry.Success(k, time.Now())
	}
}

func retryKeys(h peer.Header) []string { return []string{"group " + h.Group, "caller " + h.Caller} }

// attempt sends a request once.
func (n *client) attempt(x context.Context, w work, r Request) (end, peer.Verdict, error) {
	t, err := n.s.c.Router.Open(x, r)
	if err != nil {
		return declined, unrouted(r, err), nil
	}
	n.received = 0
	o, v, err := n.exchange(x, t.Stream, w, r.Header.Remaining)
	if o != answered || n.status == statusIdle || n.status == statusFailed && o == settled {
		_ = t.Stream.Close()
		t.Received = n.received
		n.s.c.Router.Ended(t)
	} else {
		n.open, n.route = t.Stream, t
	}
	if o == answered {
		n.s.succeeded(r.Header)
	}
	if o == declined || o == answered || o == settled && v.Outcome != "" {
		n.s.c.Router.Learn(r, t.Member, v)
	}
	if v.Outcome == peer.Moved || o == lost || o == readOnly || v.Reason == reasonOverloaded {
		r.Tried[t.Member] = true
	}
	if o == lost {
		v = peer.Verdict{Outcome: peer.NotRun, Reason: "owner-lost", RetryAfter: retryPause}
	}
	if o == readOnly {
		v = peer.Verdict{Outcome: peer.NotRun, Reason: "read-only-member", RetryAfter: retryPause}
	}
	return o, v, err
}

// unrouted gives the verdict on a request that was not sent.
func unrouted(r Request, err error) peer.Verdict {
	var u *RouteError
	if !errors.As(err, &u) {
		return peer.Verdict{Outcome: peer.NotRun, Reason: "no-route", RetryAfter: retryPause}
	}
	if u.Member != "" {
		r.Tried[u.Member] = true
	}
	return peer.Verdict{Outcome: peer.NotRun, Reason: u.Reason, RetryAfter: u.RetryAfter}
}
