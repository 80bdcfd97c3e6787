package fleet

import (
	"context"
	"maps"
	"time"

	"github.com/dragonflypick/dragonflypick/allowance"
	"github.com/dragonflypick/dragonflypick/membership"
)

// deliver sends results to those that wait; the daemon's rates.mu is held.
func (b *borrower) deliver(l []allowance.Result) {
	t := now()
	for _, r := range l {
		c, ok := b.waiting[r.Ticket]
		if !ok {
			continue
		}
		delete(b.waiting, r.Ticket)
		o := admission{token: r.Token}
		switch {
		case r.Granted:
		case r.RetryAfter > 0:
			o.refusal = &refusal{reason: refusedRate, group: b.group, retryAfter: r.RetryAfter, mode: r.Mode, grant: r.Grant}
			b.rememberUsedUp(r, *o.refusal, t)
		default:
			o.refusal = &refusal{reason: refusedNotLending, group: b.group, retryAfter: unknownRetryAfter, mode: r.Mode, grant: r.Grant}
		}
		c <- o
	}
}

// rememberUsedUp notes that the accountant has refused a team.
func (b *borrower) rememberUsedUp(r allowance.Result, f refusal, t time.Time) {
	if len(b.usedUp) >= maxUsedUp {
		maps.DeleteFunc(b.usedUp, func(_ string, u *usedUp) bool { return t.After(u.returnAt) })
	}
	b.usedUp[r.Ticket.Team] = &usedUp{at: t, until: t.Add(min(usedUpTime, f.grant.RetryAfter)), refusal: f, returnAt: t.Add(r.RetryAfter)}
}

// maxUsedUp is the number of refused teams from which the old refusals are dropped.
const maxUsedUp = 256

// refuseAll refuses all that wait; the daemon's rates.mu is held.
func (b *borrower) refuseAll(r *refusal) {
	r.group = b.group
	for k, c := range b.waiting {
		b.Leave(k)
		c <- admission{refusal: r}
	}
	clear(b.waiting)
}

// callAccountant calls the accountant of a group as long as operations wait for its
// tokens.
func (f *Daemon) callAccountant(x context.Context, b *borrower) {
	defer f.endCalls(b)
	hint := ""
	for x.Err() == nil {
		h, found := f.findHolder(b.group, hint)
		f.rates.mu.Lock()
		switch {
		case found == holderOutOfReach:
			b.refuseAll(&refusal{reason: refusedCutOff, retryAfter: isolatedRetryAfter})
		case found != holderFound:
			b.refuseAll(&refusal{reason: refusedUnreachable, retryAfter: unknownRetryAfter})
		}
		c, ok := b.Call(now())
		f.rates.mu.Unlock()
		if !ok {
			return
		}
		hint = f.askForTokens(x, b, h, c, hint)
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

// askForTokens sends a call to an accountant and handles the reply. It returns the host
// to which the next call is to be sent, if the accountant is another one; hint is the
// one that the previous reply named. A second host in a row that names another one isn't
// believed: after a change of the holder two hosts may name each other for seconds.
func (f *Daemon) askForTokens(x context.Context, b *borrower, h membership.Host, c allowance.Call, hint string) string {
	o, err := f.callLend(x, h, c)
	f.rates.mu.Lock()
	defer f.rates.mu.Unlock()
	switch {
	case err != nil:
		f.metrics.lendCalls.WithLabelValues("failed").Inc()
		b.Fail(c)
		b.refuseAll(&refusal{reason: refusedUnreachable, retryAfter: unknownRetryAfter})
		return ""
	case o.Holder != "" && hint == "" && o.Holder != h.ID:
		f.metrics.lendCalls.WithLabelValues("moved").Inc()
		b.Fail(c)
		return o.Holder
	case o.Holder != "" || o.Mode == allowance.Closed:
		f.metrics.lendCalls.WithLabelValues("not-lending").Inc()
		b.Fail(c)
		b.refuseAll(&refusal{reason: refusedNotLending, retryAfter: unknownRetryAfter, mode: o.Mode})
		return ""
	}
	f.metrics.lendCalls.WithLabelValues("answered").Inc()
	b.deliver(b.Answer(c, o, now()))
	return ""
}

func (f *Daemon) callLend(x context.Context, h membership.Host, c allowance.Call) (allowance.Reply, error) {
	if h.ID == f.config.Self.ID {
		return f.lend(c), nil
	}
	y, stop := context.WithTimeout(x, allowance.LoanTime)
	defer stop()
	var o allowance.Reply
	err := f.node.Call(y, h, methodLend, c, &o)
	return o, err
}
