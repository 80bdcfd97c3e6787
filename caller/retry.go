package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/dragonflypick/dragonflypick/budget"
	"github.com/dragonflypick/dragonflypick/peer"
)

// Limits of retries.
const (
	// freeRedirects is the number of redirects per request that need no backoff
	// and no retry budget.
	freeRedirects = 3
	// budgetRetryAfter is the minimum retry-after interval once the retry
	// budget is exhausted.
	budgetRetryAfter = 500 * time.Millisecond
)

// Reasons of refusals because of load.
const (
	reasonOverloaded  = "overloaded"
	reasonExpired     = "expired"
	reasonRegionLink  = "region-link"
	reasonInFlight    = "in-flight"
	reasonRetryBudget = "retry-budget"
)

// sendWithRetries sends a request until it is answered, refused without a
// retry, or its deadline has passed.
func (n *callerSession) sendWithRetries(x context.Context, q query, r Request, deadline time.Time) error {
	redirects, retries := 0, 0
	for {
		r.Header.Remaining = time.Until(deadline)
		o, v, err := n.sendOnce(x, q, r)
		switch {
		case err != nil || o == answered || o == errorSent:
			return err
		case x.Err() != nil && !q.inDoubt:
			return n.refuseQuery(q, canceledError())
		case x.Err() != nil:
			return n.refuseQuery(q, refusal(ownerLostInDoubt))
		case o == streamLost && n.mayRetryKeyedWrite(q, r, deadline):
			q.inDoubt = true
			sleep(x, budget.Backoff(retries, rand.Float64()))
			retries++
			continue
		case o == streamLost && r.Header.Kind != peer.KindRead:
			return n.refuseQuery(q, refusal(ownerLostInDoubt))
		case maySpill(q, r, v):
			r.Spilled = true
			continue
		case !q.complete || !isRetryable(v) || time.Until(deadline) < retryDelay:
			return n.refuseQuery(q, q.refusal(v))
		}
		if redirects++; v.Outcome == peer.Redirected && redirects <= freeRedirects {
			continue
		}
		if !n.server.takeRetry(r.Header) {
			return n.refuseQuery(q, q.refusal(retryBudgetExhausted()))
		}
		if o == memberReadOnly {
			r.redirectToPrimary()
		} else {
			r.Tried = map[string]bool{}
		}
		sleep(x, budget.Backoff(retries, rand.Float64()))
		retries++
	}
}

// ownerLostInDoubt is the verdict on a write whose owner did not answer.
var ownerLostInDoubt = peer.Verdict{Outcome: peer.InDoubt, Reason: "owner-lost"}

// refusal returns the error for the caller. While an earlier attempt may still
// run, the outcome is in doubt whatever the verdict says.
func (q query) refusal(v peer.Verdict) *RefusedError {
	if q.inDoubt {
		v = ownerLostInDoubt
	}
	return refusal(v)
}

// mayRetryKeyedWrite reports whether a write whose owner was lost may be sent
// again, and takes the retry from the budgets. Because of the idempotency key the
// write runs only once: if it has already run, the owner returns its outcome.
func (n *callerSession) mayRetryKeyedWrite(q query, r Request, deadline time.Time) bool {
	return r.Header.Key != "" && r.Header.Kind == peer.KindWrite && q.complete &&
		time.Until(deadline) > retryDelay && n.server.takeRetry(r.Header)
}

// retryBudgetExhausted returns the verdict for a request that has no retry
// budget left.
func retryBudgetExhausted() peer.Verdict {
	d := budgetRetryAfter + time.Duration(rand.Float64()*float64(budgetRetryAfter))
	return peer.Verdict{Outcome: peer.NotRun, Reason: reasonRetryBudget, RetryAfter: d}
}

// maySpill reports whether a read that was refused because of load is sent to
// another member; this happens once per request.
func maySpill(q query, r Request, v peer.Verdict) bool {
	return q.complete && v.Outcome == peer.NotRun && v.Reason == reasonOverloaded && r.Header.Kind == peer.KindRead && !r.Primary && !r.Spilled
}

// isRetryable reports whether a request that was not run should be sent again.
func isRetryable(v peer.Verdict) bool {
	switch v.Reason {
	case reasonOverloaded, reasonExpired, reasonRegionLink, reasonInFlight, "withdrawn", reasonAnswerCut:
		return false
	default:
		return v.Outcome != peer.InDoubt
	}
}

// takeRetry takes one retry from the budgets of the group and the caller, and
// reports whether both had one left.
func (s *Server) takeRetry(h peer.Header) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudgets.Take(time.Now(), retryBudgetKeys(h)...)
}

// creditRetryBudgets adds a success to the retry budgets of the group and the
// caller.
func (s *Server) creditRetryBudgets(h peer.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range retryBudgetKeys(h) {
		s.retryBudgets.RecordSuccess(k, time.Now())
	}
}

func retryBudgetKeys(h peer.Header) []string {
	return []string{"group " + h.Group, "caller " + h.Caller}
}

// sendOnce sends a request to one owner and relays the response. A stream that
// still has a transaction open stays with the session.
func (n *callerSession) sendOnce(x context.Context, q query, r Request) (exchangeResult, peer.Verdict, error) {
	t, err := n.server.config.Router.Open(x, r)
	if err != nil {
		return declined, verdictOfRouteError(r, err), nil
	}
	n.receivedBytes = 0
	o, v, err := n.exchange(x, t.Stream, q, r.Header.Remaining)
	if o != answered || n.txStatus == statusIdle || n.txStatus == statusFailed && o == errorSent {
		_ = t.Stream.Close()
		t.ReceivedBytes = n.receivedBytes
		n.server.config.Router.Release(t)
	} else {
		n.txStream, n.txRoute = t.Stream, t
	}
	if o == answered {
		n.server.creditRetryBudgets(r.Header)
	}
	if o == declined || o == answered || o == errorSent && v.Outcome != "" {
		n.server.config.Router.RecordVerdict(r, t.Member, v)
	}
	if v.Outcome == peer.Redirected || o == streamLost || o == memberReadOnly || v.Reason == reasonOverloaded {
		r.Tried[t.Member] = true
	}
	if o == streamLost {
		v = peer.Verdict{Outcome: peer.NotRun, Reason: "owner-lost", RetryAfter: retryDelay}
	}
	if o == memberReadOnly {
		v = peer.Verdict{Outcome: peer.NotRun, Reason: "read-only-member", RetryAfter: retryDelay}
	}
	return o, v, err
}

// verdictOfRouteError returns the verdict on a request that was not sent.
func verdictOfRouteError(r Request, err error) peer.Verdict {
	var u *RouteError
	if !errors.As(err, &u) {
		return peer.Verdict{Outcome: peer.NotRun, Reason: "no-route", RetryAfter: retryDelay}
	}
	if u.Member != "" {
		r.Tried[u.Member] = true
	}
	return peer.Verdict{Outcome: peer.NotRun, Reason: u.Reason, RetryAfter: u.RetryAfter}
}
