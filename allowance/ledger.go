package allowance

import (
	"maps"
	"math"
	"time"
)

// Retention of a ledger's state.
const (
	// idleTime is how long an account that is full is kept after its last use.
	idleTime = 30 * time.Second
	// maxSegments is the number of changes of the mode that are kept.
	maxSegments = 16
)

// Ledger is one host's state as the accountant of the teams of one group. Hosts that
// don't hold the group's lease keep one too, to know how long its holder has been the
// holder. It is not safe for concurrent use.
type Ledger struct {
	self   string
	bounds Bounds
	// last is the latest standing; known is set after the first.
	last  Standing
	known bool
	// holderSince is when this host first knew of the present holder.
	holderSince time.Time
	// tenure is this host's; nil if it isn't the holder. accounts are those of the
	// latest tenure, also after its end.
	tenure   *tenure
	accounts map[string]*account
	// ended is the latest tenure once it has ended.
	ended *tenure
	// closedBy is the latest epoch whose holder has asked this host to lend nothing
	// any more.
	closedBy uint64
	// sweptAt is when idle accounts were last dropped.
	sweptAt time.Time
}

// NewLedger returns the ledger of a group on the host self.
func NewLedger(self string, b Bounds) *Ledger {
	return &Ledger{self: self, bounds: b, accounts: map[string]*account{}}
}

// Observe handles the present standing. It is to be called after each change, before
// each call of another method, and from time to time.
func (l *Ledger) Observe(s Standing, now time.Time) {
	if t := l.tenure; t != nil {
		// The rate falls when the confirmation gets old, also if the host is suspended.
		if x := l.last.ConfirmedAt.Add(FreshTime); !now.Before(x) && x.After(t.lastSegment().from) {
			t.setMode(l.modeAt(x), x)
		}
	}
	old, known := l.last, l.known
	l.last, l.known = s, true
	if !known || s.Holder != old.Holder || s.Epoch != old.Epoch && s.Era == old.Era || s.Epoch > old.Epoch+1 {
		l.changeHolder(s, known && s.Epoch == old.Epoch+1 && now.Sub(l.holderSince) >= l.bounds.Window && !s.Unsettled, now)
	}
	if t := l.tenure; t != nil {
		t.epoch = s.Epoch
		t.observeRivals(s, now)
		t.setMode(l.modeAt(now), now)
		l.sweep(now)
	}
}

func (l *Ledger) changeHolder(s Standing, calm bool, now time.Time) {
	l.holderSince = now
	if l.tenure != nil {
		l.ended = l.tenure
	}
	l.tenure = nil
	if s.Holder == l.self {
		l.tenure, l.ended, l.accounts = newTenure(s, calm, now), nil, map[string]*account{}
	}
}

func (l *Ledger) modeAt(now time.Time) Mode {
	if l.tenure == nil || l.closedBy > l.tenure.epoch {
		return Closed
	}
	return l.tenure.mode(l.last, now)
}

// Mode returns how much this host may lend now.
func (l *Ledger) Mode(now time.Time) Mode { return l.modeAt(now) }

// Rivals returns the previous holders that may still lend, as far as this host knows.
func (l *Ledger) Rivals() []string {
	if l.tenure == nil || !l.tenure.soleSince.IsZero() {
		return nil
	}
	var o []string
	for _, id := range l.last.Unfinished {
		if !l.tenure.closed[id] {
			o = append(o, id)
		}
	}
	return o
}

// Epoch returns the epoch of the present holder.
func (l *Ledger) Epoch() uint64 { return l.last.Epoch }

// Teams returns this accountant's share of the limit of a team, which is zero if the
// team has other accountants, and false if no limit of the team is known.
type Teams func(team string) (Limit, bool)

// Lend answers a borrower's call. movedUntil is until when other accountants may lend
// to teams that have become this host's; zero if the groups haven't changed.
func (l *Ledger) Lend(c Call, teams Teams, movedUntil, now time.Time) Reply {
	o := Reply{Mode: l.modeAt(now)}
	if l.tenure == nil {
		o.Holder = l.last.Holder
		return o
	}
	for _, i := range c.Items {
		n, ok := teams(i.Team)
		if !ok {
			n = i.Limit
		}
		if n.Rate <= 0 {
			o.Grants = append(o.Grants, Grant{Team: i.Team})
			continue
		}
		a := l.account(i.Team, n, movedUntil, now)
		for _, s := range i.Spent {
			a.settle(c.Host, s)
		}
		for _, s := range i.Returned {
			a.stock += float64(a.settle(c.Host, s))
		}
		o.Grants = append(o.Grants, l.grant(a, c, i, o.Mode, now))
	}
	return o
}

// grant lends tokens of an account.
func (l *Ledger) grant(a *account, c Call, i Item, m Mode, now time.Time) Grant {
	o := Grant{Team: i.Team, Limit: a.limit, Stock: a.stock, Outstanding: a.outstanding}
	if now.Before(a.movedUntil) && m != Closed {
		m = Pending
	}
	x := l.bounds.terms(m, a.limit)
	rate := x.rate(a.peak(l.bounds), l.bounds.Window)
	n := 0
	if m != Closed {
		a.clamp(x, a.stock)
		n = int(math.Max(a.stock+1e-6, 0))
	}
	o.Count = min(i.Waiting, n)
	if i.Ahead > 0 {
		// A quarter of the stock, so that the other borrowers find some.
		o.Count += min(i.Ahead, (n-o.Count)/4)
	}
	if o.Count > 0 {
		a.lend(loan{host: c.Host, call: c.Number, count: o.Count, until: now.Add(LoanTime)})
	}
	if left := i.Waiting - o.Count; left > 0 && m == Full {
		o.Promised, o.Delay = a.promise(x, rate, promiseShare*l.bounds.reserve(a.limit), left, min(i.Patience, promiseTime))
	}
	if rate > 0 {
		o.Spacing = seconds(1 / rate)
	}
	if o.Promised > 0 {
		a.lend(loan{host: c.Host, call: c.Number, count: o.Promised, until: now.Add(unusedTime)})
	}
	if left := i.Waiting - o.Count - o.Promised; left > 0 {
		o.RetryAfter = a.retryAfter(rate, left, now)
	}
	return o
}

// account returns the account of a team as of now.
func (l *Ledger) account(team string, n Limit, movedUntil, now time.Time) *account {
	t, a := l.tenure, l.accounts[team]
	if a == nil {
		a = l.newAccount(n, movedUntil, now)
		l.accounts[team] = a
	}
	a.advance(l.bounds, t, now)
	if a.limit != n {
		a.limit = n
		a.clamp(l.bounds.terms(l.modeAt(now), n), a.stock)
	}
	a.usedAt = now
	return a
}

// newAccount returns the account of a team that hasn't asked since the tenure began.
func (l *Ledger) newAccount(n Limit, movedUntil, now time.Time) *account {
	t := l.tenure
	a := &account{limit: n, mintedAt: t.segments[0].from}
	switch {
	case now.Before(movedUntil):
		a.mintedAt, a.movedUntil = now, movedUntil
	case t.first:
		a.stock = l.bounds.terms(Full, n).most
	case t.imported:
		x := l.bounds.terms(Full, n)
		a.stock, a.mintedAt = min(x.rate(x.most, l.bounds.Window)*t.fullFor.Seconds(), x.most), t.importedAt
	case t.calm:
		a.stock = l.bounds.terms(Pending, n).most
	}
	// An earlier accountant may have lent as much as that.
	a.recordPeak(l.bounds.terms(Full, n).most)
	return a
}

// sweep drops idle accounts, and changes of the mode that all accounts have passed.
func (l *Ledger) sweep(now time.Time) {
	t := l.tenure
	if now.Sub(l.sweptAt) < idleTime && len(t.segments) <= maxSegments {
		return
	}
	l.sweptAt = now
	for _, a := range l.accounts {
		a.advance(l.bounds, t, now)
	}
	if n := len(t.segments) - maxSegments; n > 0 {
		// An account that doesn't exist yet starts empty, at a later time.
		t.segments, t.calm, t.first = t.segments[n:], false, false
	}
	maps.DeleteFunc(l.accounts, func(_ string, a *account) bool { return now.Sub(a.usedAt) > idleTime && a.full(l.bounds) })
}
