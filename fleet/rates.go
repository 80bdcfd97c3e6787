package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypick/dragonflypick/allowance"
	"github.com/dragonflypick/dragonflypick/catalog"
	"github.com/dragonflypick/dragonflypick/entry"
	"github.com/dragonflypick/dragonflypick/query"
)

// Timing of admission.
const (
	// patienceFraction is the fraction of a database's target latency that an operation
	// may wait for a promised token.
	patienceFraction = 4
	// admissionFraction is the fraction of a statement's time that an operation may wait
	// while none of its team's accountants can be reached and may lend.
	admissionFraction = 2
	// admissionRetryDelay is the delay before these accountants are asked again.
	admissionRetryDelay = 60 * time.Millisecond
	// accountantTimeout is how long an operation waits for one accountant before it asks
	// the next one.
	accountantTimeout = 250 * time.Millisecond
	// usedUpTime is how long an accountant that has refused a team isn't asked for it.
	usedUpTime = 150 * time.Millisecond
	// unknownRetryAfter is the retry-after interval of an operation that is refused
	// because the team's accountants could not be reached.
	unknownRetryAfter = 500 * time.Millisecond
)

// Reasons for the refusal of an operation, in metrics and logs.
const (
	refusedRate        = "rate"
	refusedNotLending  = "accountant-not-lending"
	refusedUnreachable = "accountant-unreachable"
	refusedCutOff      = "cut-off"
	refusedGone        = "caller-gone"
)

var refusalTexts = map[string]string{
	refusedRate: "the team's rate is used up", refusedUnreachable: "the team's rate can't be checked now", refusedNotLending: "the team's rate can't be checked now",
	refusedCutOff: "this daemon is cut off from the others", refusedGone: "the caller is gone",
}

// rates is the state of the operations of teams that start at this host.
type rates struct {
	mu sync.Mutex
	// borrowers holds the loans of this host by the accountant's group.
	borrowers map[string]*borrower
	logged    refusalLog
}

// borrower is a host's loans from one accountant.
type borrower struct {
	*allowance.Borrower
	group string
	// waiting maps each ticket to where its outcome is sent.
	waiting map[*allowance.Ticket]chan admission
	// calling is set while a task calls the accountant.
	calling bool
	// usedUp holds the teams that the accountant has refused of late.
	usedUp map[string]*usedUp
}

// usedUp is an accountant's refusal of a team.
type usedUp struct {
	// at is when the accountant refused; until is when it may be asked again.
	at, until time.Time
	// refusal is what callers are told; returnAt is when the next one may come back.
	refusal  refusal
	returnAt time.Time
}

// admission is the outcome of waiting for a token: the token, or why there is none.
type admission struct {
	token   allowance.Token
	refusal *refusal
}

// refusal is why an operation was not admitted.
type refusal struct {
	reason     string
	group      string
	retryAfter time.Duration
	// remembered is set if the accountant wasn't asked because it has just refused the
	// team.
	remembered bool
	// mode and grant are the accountant's, if it has refused.
	mode  allowance.Mode
	grant allowance.Grant
}

// Limiter returns the limiter of teams' operations, or nil if rates aren't bounded.
func (f *Daemon) Limiter() entry.Limiter {
	if f.config.Features.Rates == nil {
		return nil
	}
	return f
}

// Admit implements entry.Limiter.
func (f *Daemon) Admit(x context.Context, q *query.Request, d catalog.Database) (func(*query.Response), *query.Failure) {
	c, team := f.Catalog(), q.Team
	if c == nil || !isLimited(c, team) {
		return func(*query.Response) {}, nil
	}
	x, stop := context.WithTimeout(x, d.StatementTimeout/admissionFraction)
	defer stop()
	b, k, r := f.acquireToken(x, c, c.Teams[team], d)
	if r != nil {
		f.recordRefusal(q, r)
		return nil, &query.Failure{Reason: query.Overloaded, Text: refusalTexts[r.reason], RetryAfter: r.retryAfter}
	}
	f.metrics.admitted.WithLabelValues(f.teamLabel(team)).Inc()
	return func(o *query.Response) { f.settleToken(b, k, o) }, nil
}

// isLimited reports whether the operations of a team are bounded by its rate.
func isLimited(c *catalog.Catalog, team string) bool {
	return c.Teams[team].Rate > 0 && len(c.Groups) > 0
}

// refusals are those of a team's accountants: of them that have used up the team's rate
// the one with the earliest return, and the last one of those that can't tell.
type refusals struct{ rate, unknown *refusal }

func (l *refusals) add(r *refusal) {
	switch {
	case r.reason != refusedRate:
		l.unknown = r
	case l.rate == nil || r.retryAfter < l.rate.retryAfter:
		l.rate = r
	}
}

// acquireToken returns a token of the first accountant of a team that lends one.
func (f *Daemon) acquireToken(x context.Context, c *catalog.Catalog, t catalog.Team, d catalog.Database) (*borrower, allowance.Token, *refusal) {
	for {
		var refused refusals
		l := f.orderedAccountants(c, t.Name)
		for _, b := range l {
			o := f.awaitToken(x, b, allowance.Ticket{Team: t.Name, Limit: f.shareOf(t, len(l)), Patience: d.TargetLatency / patienceFraction})
			switch r := o.refusal; {
			case r == nil:
				return b, o.token, nil
			case r.reason == refusedCutOff || x.Err() == context.Canceled:
				return nil, o.token, r
			default:
				refused.add(r)
			}
		}
		switch {
		case refused.rate != nil:
			return nil, allowance.Token{}, f.claimReturn(t.Name, refused.rate)
		case !sleep(x, admissionRetryDelay):
			return nil, allowance.Token{}, refused.unknown
		}
	}
}

// takeSpareToken uses a token that this host has left, for an operation of a team that
// a second member receives. It returns true if the team's rate isn't bounded.
func (f *Daemon) takeSpareToken(team string) bool {
	c := f.Catalog()
	if f.Limiter() == nil || c == nil || c.Teams[team].Rate <= 0 {
		return true
	}
	for _, b := range f.orderedAccountants(c, team) {
		f.rates.mu.Lock()
		k, ok := b.Take(team, now())
		if ok {
			b.Spend(k, now())
		}
		f.rates.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// nearestAccountants returns the groups of a team's accountants, that of the nearest one
// that can be reached first.
func (f *Daemon) nearestAccountants(c *catalog.Catalog, team string) []string {
	names := accountingGroups(c, team)
	cost := map[string]time.Duration{}
	f.mu.Lock()
	for i, name := range names {
		cost[name] = time.Hour
		if h, ok := f.holderHost(name, ""); ok {
			cost[name] = f.assumedRTT(h.Region, h.FailureDomain) + time.Duration(i)
			if h.ID == f.config.Self.ID {
				cost[name] = 0
			}
		}
	}
	f.mu.Unlock()
	slices.SortStableFunc(names, func(a, b string) int { return int(cost[a] - cost[b]) })
	return names
}

// orderedAccountants returns the loans from a team's accountants in the order of
// nearestAccountants.
func (f *Daemon) orderedAccountants(c *catalog.Catalog, team string) []*borrower {
	names := f.nearestAccountants(c, team)
	f.rates.mu.Lock()
	defer f.rates.mu.Unlock()
	o := make([]*borrower, 0, len(names))
	for _, name := range names {
		b := f.rates.borrowers[name]
		if b == nil {
			b = &borrower{Borrower: allowance.NewBorrower(name, f.config.Self.ID), group: name, waiting: map[*allowance.Ticket]chan admission{}, usedUp: map[string]*usedUp{}}
			f.rates.borrowers[name] = b
		}
		o = append(o, b)
	}
	return o
}

// awaitToken returns a token of one accountant for an operation.
func (f *Daemon) awaitToken(x context.Context, b *borrower, k allowance.Ticket) admission {
	f.rates.mu.Lock()
	t, ok := b.Take(k.Team, now())
	u, refused := b.recentRefusal(k.Team, now())
	f.rates.mu.Unlock()
	switch {
	case ok:
		return admission{token: t}
	case refused:
		r := u.refusal
		r.remembered = true
		return admission{refusal: &r}
	}
	o := f.waitForOutcome(x, b, &k)
	if o.refusal != nil {
		return o
	}
	if d := o.token.UsableAt.Sub(now()); d > 0 {
		sleep(x, d)
	}
	if !o.token.Usable(now()) {
		o.refusal = &refusal{reason: refusedUnreachable, group: b.group, retryAfter: unknownRetryAfter}
	}
	return o
}

// recentRefusal returns the refusal for which the accountant isn't asked for a team; the
// daemon's rates.mu is held.
func (b *borrower) recentRefusal(team string, t time.Time) (*usedUp, bool) {
	u := b.usedUp[team]
	return u, u != nil && t.Before(u.until)
}

// nextReturn returns after which time the next caller may come back.
func (u *usedUp) nextReturn(t time.Time) time.Duration {
	return allowance.BoundRetryAfter(max(u.returnAt.Sub(t), 0) + u.refusal.grant.Spacing)
}

// waitForOutcome waits until a ticket gets a token or is refused.
func (f *Daemon) waitForOutcome(x context.Context, b *borrower, k *allowance.Ticket) admission {
	x, stop := context.WithTimeout(x, accountantTimeout)
	defer stop()
	c := make(chan admission, 1)
	f.rates.mu.Lock()
	b.Wait(k)
	b.waiting[k] = c
	start := !b.calling
	b.calling = true
	f.rates.mu.Unlock()
	if start {
		f.spawn(func(x context.Context) { f.callAccountant(x, b) })
	}
	select {
	case o := <-c:
		return o
	case <-x.Done():
	}
	f.rates.mu.Lock()
	defer f.rates.mu.Unlock()
	b.Leave(k)
	delete(b.waiting, k)
	select {
	case o := <-c:
		return o
	default:
	}
	r := &refusal{reason: refusedUnreachable, group: b.group, retryAfter: unknownRetryAfter}
	if x.Err() == context.Canceled {
		r.reason = refusedGone
	}
	return admission{refusal: r}
}

// settleToken notes whether an operation that was admitted has used its token.
func (f *Daemon) settleToken(b *borrower, k allowance.Token, o *query.Response) {
	f.rates.mu.Lock()
	defer f.rates.mu.Unlock()
	if o.MayHaveRun {
		b.Spend(k, now())
		return
	}
	b.deliver(b.Return(k, now()))
}

// claimReturn returns the refusal of an operation, with a time of its own at which the
// caller may come back.
func (f *Daemon) claimReturn(team string, r *refusal) *refusal {
	f.rates.mu.Lock()
	defer f.rates.mu.Unlock()
	u := f.rates.borrowers[r.group].usedUp[team]
	if u == nil || !r.remembered {
		return r
	}
	t := now()
	r.retryAfter = u.nextReturn(t)
	u.returnAt = t.Add(r.retryAfter)
	return r
}
