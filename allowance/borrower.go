package allowance

import (
	"time"
)

// Timing and limits of a borrower.
const (
	// aheadTime is the time for whose expected operations tokens are borrowed ahead.
	aheadTime = 250 * time.Millisecond
	// rateWindow is the time over which a team's operations are counted to expect the
	// next ones.
	rateWindow = time.Second
	// returnTime is the rest of a loan's time in which its unused tokens are returned
	// with the next call.
	returnTime = 150 * time.Millisecond
	// idlePurseTime is how long the state of a team without operations is kept.
	idlePurseTime = 10 * time.Second
	// minAhead is the number of operations in a rateWindow from which one token is
	// borrowed ahead.
	minAhead = 2
	// maxItems bounds the teams in one call.
	maxItems = 256
)

// Token is the permission to run one operation.
type Token struct {
	Team string
	// call is the call that received its loan.
	call uint64
	// expires is when it can't be used any more.
	expires time.Time
	// UsableAt is when it may be used.
	UsableAt time.Time
}

// Usable reports whether the token may be used at a time.
func (t Token) Usable(now time.Time) bool {
	return !now.Before(t.UsableAt) && now.Before(t.expires)
}

// Ticket is an operation that waits for a token. Its fields aren't changed.
type Ticket struct {
	Team  string
	Limit Limit
	// Patience is how long it may wait for a promised token.
	Patience time.Duration
}

// Result is the result of a call for one ticket: a token if Granted is set, or else the
// reply that refuses it.
type Result struct {
	Ticket  *Ticket
	Token   Token
	Granted bool
	// RetryAfter is when the caller may come back; zero if the accountant can't tell.
	RetryAfter time.Duration
	// Grant is the accountant's explanation.
	Grant Grant
	Mode  Mode
}

// purse is a borrower's state of one team.
type purse struct {
	limit Limit
	// lots hold tokens that aren't in use.
	lots []Token
	// waiting are the tickets that no call under way asks for; asked are those of the
	// call under way.
	waiting, asked []*Ticket
	// spent and returned are reported with the next call, by the call that received
	// the loan.
	spent, returned map[uint64]int
	// countFrom is the start of the span in which count operations have arrived; last
	// is the count of the span before it.
	countFrom   time.Time
	count, last int
	usedAt      time.Time
}

// Borrower is a host's state of its loans from one accountant. One call to the
// accountant is under way at a time. It is not safe for concurrent use.
type Borrower struct {
	group, host string
	purses      map[string]*purse
	// calls counts the calls; sentAt is when the one under way was sent, zero if none
	// is.
	calls  uint64
	sentAt time.Time
}

// NewBorrower returns the state of a host without loans. The host's ID is unique among
// all processes.
func NewBorrower(group, host string) *Borrower {
	return &Borrower{group: group, host: host, purses: map[string]*purse{}}
}

// Take returns a token for an operation that arrives, or false if it has to wait.
func (b *Borrower) Take(team string, now time.Time) (Token, bool) {
	p := b.purse(team)
	p.countOperation(now)
	return p.take(now)
}

// purse returns the state of a team.
func (b *Borrower) purse(team string) *purse {
	p := b.purses[team]
	if p == nil {
		p = &purse{spent: map[uint64]int{}, returned: map[uint64]int{}}
		b.purses[team] = p
	}
	return p
}

// take removes a token that may be used now.
func (p *purse) take(now time.Time) (Token, bool) {
	for len(p.lots) > 0 {
		t := p.lots[0]
		if t.UsableAt.After(now) {
			return Token{}, false
		}
		p.lots = p.lots[1:]
		if t.Usable(now) {
			return t, true
		}
	}
	return Token{}, false
}

// Stock returns the number of a team's tokens that may be used now, and takes none.
func (b *Borrower) Stock(team string, now time.Time) int {
	p, n := b.purses[team], 0
	if p == nil {
		return 0
	}
	for _, t := range p.lots {
		if t.UsableAt.After(now) {
			break
		}
		if t.Usable(now) {
			n++
		}
	}
	return n
}

func (p *purse) countOperation(now time.Time) {
	p.usedAt = now
	if d := now.Sub(p.countFrom); d >= rateWindow {
		p.last = p.count
		if d >= 2*rateWindow {
			p.last = 0
		}
		p.count, p.countFrom = 0, now
	}
	p.count++
}

// ahead returns the number of tokens to borrow for operations to come.
func (p *purse) ahead() int {
	n := int(float64(p.last) * aheadTime.Seconds() / rateWindow.Seconds())
	if p.last >= minAhead {
		n = max(n, 1)
	}
	return max(n-len(p.lots), 0)
}

// Wait adds a ticket.
func (b *Borrower) Wait(t *Ticket) {
	p := b.purse(t.Team)
	p.limit = t.Limit
	p.waiting = append(p.waiting, t)
}

// Leave removes a ticket. A token that a call under way receives for it goes to the
// stock.
func (b *Borrower) Leave(t *Ticket) {
	p := b.purses[t.Team]
	if p == nil {
		return
	}
	p.waiting, p.asked = without(p.waiting, t), without(p.asked, t)
}

func without(l []*Ticket, t *Ticket) []*Ticket {
	var o []*Ticket
	for _, x := range l {
		if x != t {
			o = append(o, x)
		}
	}
	return o
}

// Spend notes that an operation has used its token.
func (b *Borrower) Spend(t Token, now time.Time) {
	if p := b.purses[t.Team]; p != nil && now.Before(t.expires) {
		p.spent[t.call]++
	}
}

// Return takes back the token of an operation that has surely not run.
func (b *Borrower) Return(t Token, now time.Time) []Result {
	p := b.purses[t.Team]
	if p == nil || !t.Usable(now) {
		return nil
	}
	if len(p.waiting) > 0 {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		return []Result{{Ticket: w, Token: t, Granted: true}}
	}
	p.lots = append([]Token{t}, p.lots...)
	return nil
}

// Call returns the next call to the accountant, and false if none is needed or one is
// under way.
func (b *Borrower) Call(now time.Time) (Call, bool) {
	if !b.sentAt.IsZero() || !b.anyWaiting() {
		return Call{}, false
	}
	b.calls++
	b.sentAt = now
	c := Call{Group: b.group, Host: b.host, Number: b.calls}
	for team, p := range b.purses {
		if len(c.Items) < maxItems && (len(p.waiting) > 0 || len(p.spent) > 0) {
			c.Items = append(c.Items, p.item(team, now))
		}
		if len(p.waiting)+len(p.asked) == 0 && now.Sub(p.usedAt) > idlePurseTime {
			delete(b.purses, team)
		}
	}
	return c, true
}

func (b *Borrower) anyWaiting() bool {
	for _, p := range b.purses {
		if len(p.waiting) > 0 {
			return true
		}
	}
	return false
}

// item returns what a call says of a team.
func (p *purse) item(team string, now time.Time) Item {
	p.returnUnused(now)
	i := Item{Team: team, Limit: p.limit, Waiting: len(p.waiting), Spent: settled(p.spent), Returned: settled(p.returned)}
	if len(p.waiting) > 0 {
		i.Ahead = p.ahead()
		for _, w := range p.waiting {
			i.Patience = max(i.Patience, w.Patience)
		}
	}
	p.asked, p.waiting = p.waiting, nil
	clear(p.spent)
	clear(p.returned)
	return i
}

// returnUnused marks the tokens to be returned that expire soon.
func (p *purse) returnUnused(now time.Time) {
	var l []Token
	for _, t := range p.lots {
		switch {
		case !now.Before(t.expires):
		case t.expires.Sub(now) < returnTime:
			p.returned[t.call]++
		default:
			l = append(l, t)
		}
	}
	p.lots = l
}

func settled(m map[uint64]int) []Settled {
	var o []Settled
	for c, n := range m {
		o = append(o, Settled{Call: c, Count: n})
	}
	return o
}

// Answer handles the reply to a call.
func (b *Borrower) Answer(c Call, r Reply, now time.Time) []Result {
	if c.Number != b.calls || b.sentAt.IsZero() {
		return nil
	}
	sent := b.sentAt
	b.sentAt = time.Time{}
	var o []Result
	for _, g := range r.Grants {
		if p := b.purses[g.Team]; p != nil {
			p.addTokens(c.Number, g, sent, now)
			o = append(o, p.resolve(g, r.Mode, now)...)
		}
	}
	b.requeue()
	return o
}

// Fail handles the failure of a call. Its tickets go on waiting.
func (b *Borrower) Fail(c Call) {
	if c.Number == b.calls {
		b.sentAt = time.Time{}
		b.requeue()
	}
}

func (b *Borrower) requeue() {
	for _, p := range b.purses {
		p.waiting, p.asked = append(p.asked, p.waiting...), nil
	}
}

// addTokens adds the tokens of a loan. Its time counts from when the call was sent,
// earlier than the accountant counts.
func (p *purse) addTokens(call uint64, g Grant, sent, now time.Time) {
	for range g.Count {
		p.lots = append(p.lots, Token{Team: g.Team, call: call, expires: sent.Add(LoanTime)})
	}
	for i := range g.Promised {
		u := now.Add(g.Delay + time.Duration(i)*g.Spacing)
		p.lots = append(p.lots, Token{Team: g.Team, call: call, expires: sent.Add(unusedTime), UsableAt: u})
	}
}

// resolve gives tokens to the tickets of a call and refuses the others.
func (p *purse) resolve(g Grant, m Mode, now time.Time) []Result {
	var o []Result
	for len(p.asked) > 0 && len(p.lots) > 0 {
		t := p.lots[0]
		p.lots = p.lots[1:]
		if !now.Before(t.expires) {
			continue
		}
		o = append(o, Result{Ticket: p.asked[0], Token: t, Granted: true})
		p.asked = p.asked[1:]
	}
	for i, w := range p.asked {
		r := Result{Ticket: w, Grant: g, Mode: m}
		if g.RetryAfter > 0 && (m == Full || m == Reduced) {
			r.RetryAfter = BoundRetryAfter(g.RetryAfter + time.Duration(i)*g.Spacing)
		}
		o = append(o, r)
	}
	p.asked = nil
	return o
}
