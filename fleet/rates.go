package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// for an accountant that can't be reached or may not lend yet.
	admissionFraction = 2
	// accountantRetryDelay is the delay before an accountant that could not be reached
	// is looked up again, lendingRetryDelay that before one is called again that may
	// not lend what is asked.
	accountantRetryDelay = 20 * time.Millisecond
	lendingRetryDelay    = 60 * time.Millisecond
	// unknownRetryAfter is the retry-after interval of an operation that is refused
	// because the team's accountant could not be reached.
	unknownRetryAfter = 500 * time.Millisecond
)

// Reasons for the refusal of an operation, in metrics and logs.
const (
	refusedRate        = "rate"
	refusedUnreachable = "accountant-unreachable"
	refusedCutOff      = "cut-off"
	refusedGone        = "caller-gone"
)

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
}

// admission is the outcome of waiting for a token: the token, or why there is none.
type admission struct {
	token   allowance.Token
	refusal *refusal
}

// refusal is why an operation was not admitted.
type refusal struct {
	reason     string
	retryAfter time.Duration
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
func (f *Daemon) Admit(x context.Context, team string, d catalog.Database) (func(*query.Response), *query.Failure) {
	c := f.Catalog()
	if c == nil || c.Teams[team].Rate <= 0 {
		return func(*query.Response) {}, nil
	}
	t := c.Teams[team]
	b := f.borrower(accountingGroup(c, team))
	k, r := f.awaitToken(x, b, t, d)
	if r != nil {
		f.recordRefusal(team, b.group, r)
		return nil, &query.Failure{Reason: query.Overloaded, Text: refusalTexts[r.reason], RetryAfter: r.retryAfter}
	}
	f.metrics.admitted.WithLabelValues(f.teamLabel(team)).Inc()
	return func(o *query.Response) { f.settleToken(b, k, o) }, nil
}

var refusalTexts = map[string]string{
	refusedRate: "the team's rate is used up", refusedUnreachable: "the team's rate can't be checked now",
	refusedCutOff: "this daemon is cut off from the others", refusedGone: "the caller is gone",
}

// accountingGroup returns the group whose holder is a team's accountant.
func accountingGroup(c *catalog.Catalog, team string) string {
	best, most := "", uint64(0)
	for name := range c.Groups {
		if n := xxhash.Sum64String(team + "\x00" + name); best == "" || n > most || n == most && name < best {
			best, most = name, n
		}
	}
	return best
}

func (f *Daemon) borrower(group string) *borrower {
	f.rates.mu.Lock()
	defer f.rates.mu.Unlock()
	b := f.rates.borrowers[group]
	if b == nil {
		b = &borrower{Borrower: allowance.NewBorrower(group, f.config.Self.ID), group: group, waiting: map[*allowance.Ticket]chan admission{}}
		f.rates.borrowers[group] = b
	}
	return b
}

// awaitToken returns a token for an operation.
func (f *Daemon) awaitToken(x context.Context, b *borrower, t catalog.Team, d catalog.Database) (allowance.Token, *refusal) {
	x, stop := context.WithTimeout(x, d.StatementTimeout/admissionFraction)
	defer stop()
	f.rates.mu.Lock()
	k, ok := b.Take(t.Name, now())
	f.rates.mu.Unlock()
	if ok {
		return k, nil
	}
	for {
		o := f.waitForOutcome(x, b, &allowance.Ticket{
			Team: t.Name, Limit: allowance.Limit{Rate: t.Rate, Burst: t.Burst}, Patience: d.TargetLatency / patienceFraction,
		})
		if o.refusal != nil {
			return o.token, o.refusal
		}
		if u := o.token.UsableAt.Sub(now()); u > 0 {
			sleep(x, u)
		}
		if o.token.Usable(now()) {
			return o.token, nil
		}
	}
}

// waitForOutcome waits until a ticket gets a token or is refused.
func (f *Daemon) waitForOutcome(x context.Context, b *borrower, k *allowance.Ticket) admission {
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
	if x.Err() == context.Canceled {
		return admission{refusal: &refusal{reason: refusedGone}}
	}
	return admission{refusal: &refusal{reason: refusedUnreachable, retryAfter: unknownRetryAfter}}
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

// deliver sends results to those that wait; the daemon's rates.mu is held.
func (b *borrower) deliver(l []allowance.Result) {
	for _, r := range l {
		c, ok := b.waiting[r.Ticket]
		if !ok {
			continue
		}
		delete(b.waiting, r.Ticket)
		o := admission{token: r.Token}
		if r.Refused {
			o.refusal = &refusal{reason: refusedRate, retryAfter: r.RetryAfter, mode: r.Mode, grant: r.Grant}
		}
		c <- o
	}
}

// callAccountant calls the accountant of a group as long as operations wait for tokens.
func (f *Daemon) callAccountant(x context.Context, b *borrower) {
	defer f.endCalls(b)
	hint := ""
	for {
		f.mu.Lock()
		h, ok := f.holderHost(b.group, hint)
		isolated := f.isolated() && h.ID != f.config.Self.ID
		f.mu.Unlock()
		f.rates.mu.Lock()
		if isolated {
			b.refuseAll(&refusal{reason: refusedCutOff, retryAfter: isolatedRetryAfter})
		}
		if len(b.waiting) == 0 {
			f.rates.mu.Unlock()
			return
		}
		var c allowance.Call
		if ok {
			c, ok = b.Call(now())
		}
		f.rates.mu.Unlock()
		d := accountantRetryDelay
		if ok {
			hint, d = f.askForTokens(x, b, h, c)
		}
		if d > 0 && !sleep(x, d) {
			return
		}
	}
}

// endCalls ends the task that calls an accountant, and starts another one if operations
// have begun to wait meanwhile.
func (f *Daemon) endCalls(b *borrower) {
	f.rates.mu.Lock()
	defer f.rates.mu.Unlock()
	b.calling = len(b.waiting) > 0 && f.ctx.Err() == nil
	if b.calling {
		f.spawn(func(x context.Context) { f.callAccountant(x, b) })
	}
}

// refuseAll refuses all that wait; the daemon's rates.mu is held.
func (b *borrower) refuseAll(r *refusal) {
	for k, c := range b.waiting {
		b.Leave(k)
		c <- admission{refusal: r}
	}
	clear(b.waiting)
}
