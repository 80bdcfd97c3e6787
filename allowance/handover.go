package allowance

import "time"

// CloseCall is the request of a group's holder to a previous one to lend nothing any
// more.
type CloseCall struct {
	Group string `json:"g"`
	Epoch uint64 `json:"e"`
}

// Handover is the reply to a CloseCall.
type Handover struct {
	// Closed is set if the host lends nothing any more.
	Closed bool `json:"c"`
	// Accounts are its accounts, if Complete is set: it was the last accountant before
	// the caller, and no other one could lend.
	Complete bool              `json:"f,omitempty"`
	Accounts []HandoverAccount `json:"a,omitempty"`
	// FullFor is how long it has lent at the full rate.
	FullFor time.Duration `json:"d,omitempty"`
}

// HandoverAccount is the account of a team.
type HandoverAccount struct {
	Team  string         `json:"t"`
	Limit Limit          `json:"l"`
	Stock float64        `json:"s"`
	Loans []HandoverLoan `json:"o,omitempty"`
}

// HandoverLoan is a number of tokens that are lent, and the time for which they are.
type HandoverLoan struct {
	Count int           `json:"n"`
	Left  time.Duration `json:"d"`
}

// Close ends this host's lending in favor of the holder of a later epoch, and hands
// its accounts over.
func (l *Ledger) Close(epoch uint64, now time.Time) Handover {
	t := l.tenure
	if t == nil {
		t = l.ended
	}
	if t != nil && t.epoch >= epoch {
		return Handover{}
	}
	l.closedBy = max(l.closedBy, epoch)
	o := Handover{Closed: true}
	if t == nil || t.epoch+1 != epoch {
		return o
	}
	n := len(t.segments) - 1
	if t.segments[n].mode == Closed && n > 0 {
		n-- // closed by an earlier such call
	}
	if t.segments[n].mode != Full {
		return o
	}
	o.Complete, o.FullFor = true, now.Sub(t.segments[n].from)
	t.setMode(Closed, now)
	for team, a := range l.accounts {
		a.advance(l.bounds, t, now)
		h := HandoverAccount{Team: team, Limit: a.limit, Stock: a.stock}
		for _, x := range a.loans {
			h.Loans = append(h.Loans, HandoverLoan{Count: x.count, Left: x.until.Sub(now)})
		}
		o.Accounts = append(o.Accounts, h)
	}
	return o
}

// Import handles a previous holder's reply to this host's CloseCall of an epoch.
func (l *Ledger) Import(from string, epoch uint64, h Handover, now time.Time) {
	t := l.tenure
	if t == nil || t.epoch != epoch || !h.Closed || !t.soleSince.IsZero() {
		return
	}
	t.closed[from] = true
	if h.Complete {
		// It couldn't have lent at the full rate while earlier ones might lend.
		for _, id := range l.last.Unfinished {
			t.closed[id] = true
		}
	}
	t.observeRivals(l.last, now)
	if h.Complete {
		t.imported, t.importedAt, t.fullFor = true, now, h.FullFor
		for _, x := range h.Accounts {
			l.importAccount(x, now)
		}
	}
	t.setMode(l.modeAt(now), now)
}

// importAccount adds an account that was handed over to what this host has lent itself.
func (l *Ledger) importAccount(h HandoverAccount, now time.Time) {
	a := l.accounts[h.Team]
	if a == nil {
		a = &account{}
		l.accounts[h.Team] = a
	}
	a.advance(l.bounds, l.tenure, now)
	a.limit, a.stock, a.mintedAt, a.usedAt = h.Limit, h.Stock, now, now
	a.recordPeak(l.bounds.terms(Full, h.Limit).most)
	for _, x := range h.Loans {
		a.addLoan(loan{count: x.Count, until: now.Add(x.Left)})
	}
}
